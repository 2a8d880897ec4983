#pragma once

#include <azureladder/base/clock.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace azureladder::store_double {

/// Leases that expire unless renewed in time. Thread safe.
class lease_table
{
public:
    explicit lease_table(const clock& time) : m_clock(time) {}

    /// Starts a lease and returns its id.
    std::string create(milliseconds ttl);

    /// Renews a lease for its original duration. Returns false when it has expired or never
    /// existed.
    bool renew(const std::string& id);

    /// Ends a lease. False when it has expired or never existed.
    bool end(const std::string& id);

private:
    struct lease
    {
        milliseconds m_ttl{0};
        time_point m_expires;
    };

    void remove_expired();

    const clock& m_clock;
    std::mutex m_mutex;
    std::map<std::string, lease> m_leases;
    std::uint64_t m_next_id = 1;
};

} // namespace azureladder::store_double
