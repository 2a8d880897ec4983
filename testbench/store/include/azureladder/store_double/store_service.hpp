#pragma once

#include <azureladder/http/message.hpp>
#include <azureladder/store_double/call_counts.hpp>
#include <azureladder/store_double/kv_table.hpp>
#include <azureladder/store_double/lease_table.hpp>
#include <azureladder/store_double/store_faults.hpp>
#include <azureladder/testbench/json_lines.hpp>

namespace azureladder::store_double {

/// Answers the platform store calls of docs/design.md and the control calls of the double.
class store_service
{
public:
    store_service(const clock& time, std::uint64_t seed, testbench::json_lines& log);

    /// Handler for `http::server`.
    http::response handle(const http::request& message);

    /// Ends all waiting watches.
    void cancel_waits();

private:
    http::response handle_control(const http::request& message);
    http::response handle_call(const http::request& message, const std::string& call);
    http::response handle_key(const http::request& message);
    http::response handle_lease(const http::request& message);
    http::response read_key(const http::request& message, const std::string& key);
    http::response write_key(const http::request& message, const std::string& key);
    http::response create_lease(const http::request& message);

    testbench::json_lines& m_log;
    kv_table m_keys;
    lease_table m_leases;
    store_faults m_faults;
    call_counts m_counts;
};

} // namespace azureladder::store_double
