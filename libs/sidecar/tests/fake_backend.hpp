#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::sidecar {

/// Simulated backend server with key leases and fencing tokens. Records the executed requests.
class fake_backend
{
public:
    fake_backend(std::string id, std::string service, std::string address);

    backend_announcement announcement(time_point now);

    /// Applies a key command that has arrived and returns its result.
    key_command_ended grant(const grant_keys& command, time_point now);
    key_command_ended release(const release_keys& command);

    /// Response to a health check.
    backend_checked check(const check_backend& command) const;

    /// Whether the server executes a request. A request with a key requires a lease.
    bool accepts(const forwarded_request& request, time_point now) const;
    bool has_lease(std::uint32_t key, time_point now) const;

    /// First and last keys of the leased ranges, in ascending order.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> leased_ranges(time_point now) const;

    /// Starts a new incarnation without leases and executions.
    void restart(time_point now);

    /// Starts a new incarnation with a new id.
    void replace(time_point now);

    const std::string& id() const { return m_id; }

    /// Number of the current incarnation.
    std::int64_t backend_incarnation() const { return m_backend_incarnation; }

    /// Ids of the executed requests, in order of execution.
    std::vector<std::string> m_executed;

    /// Request ids of the running executions, by incarnation of the node and execution id. The
    /// server cancels an execution whose connection closes.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> m_running;
    bool m_alive = true;
    bool m_draining = false;

    static constexpr std::uint32_t slots = 4;

private:
    struct key_lease
    {
        std::uint32_t m_to = 0;
        std::uint64_t m_fencing_token = 0;
        time_point m_end;
    };

    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::int64_t m_backend_incarnation = 1;
    std::int64_t m_sequence = 0;
    std::map<std::uint32_t, key_lease> m_leases;
    std::uint64_t m_highest_fencing_token = 0;
};

} // namespace azureladder::sidecar
