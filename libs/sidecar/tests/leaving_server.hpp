#pragma once

#include <azureladder/sidecar/step.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <map>

namespace azureladder::sidecar {

/// A node whose server "i-1" announces itself regularly. The announcements may be delayed on their
/// way, also beyond the end of a process of the node. The store is down unless a test answers.
class leaving_server : public testing::Test
{
protected:
    static constexpr duration heartbeat = milliseconds(870);
    static constexpr duration tick = milliseconds(5);
    static constexpr std::uint64_t removal = 1'000'000;

    /// Longest wait for the acknowledgement of a departure.
    static constexpr duration max_wait = milliseconds(400) + tick * 2;

    leaving_server();

    /// Starts a new process of the node. `clock_step` is added to the time of day that it reads.
    void restart(duration clock_step = {});

    void run_for(duration time);

    /// Processes an event, and answers the checks of the server that result.
    void receive(const event& input);

    /// The server sends an announcement, which arrives after `m_delay`.
    void send_announcement();

    /// Removes the server, which then announces itself no more.
    void remove();

    bool is_acknowledged(std::uint64_t message = removal) const;

    /// Returns how long the acknowledgement took after the removal, or `limit` if there is none.
    duration run_until_acknowledged(duration limit, std::uint64_t message = removal);

    bool is_used() const;

    /// Whether the server receives requests at some time in the next 12 s.
    bool is_used_later();

    node_state m_state;
    time_point m_now;

    /// Share of the usual interval between two announcements.
    double m_interval_share = 1.0;
    duration m_delay{};
    bool m_is_announcing = true;
    bool m_is_draining = false;

    /// The server has sent its removal or "draining", which its responses to checks state.
    bool m_is_leaving = false;

    /// The server responds to checks as to other requests.
    bool m_is_uncheckable = false;

    /// It does not respond to checks.
    bool m_is_unresponsive = false;

    /// No process of the node runs, so announcements are lost.
    bool m_is_down = false;
    time_point m_next_announcement_at;
    std::int64_t m_sequence = 0;
    std::multimap<time_point, backend_announced> m_under_way;
    std::map<std::uint64_t, bool> m_responses;
    time_point m_removed_at;
    std::size_t m_checks = 0;
};

} // namespace azureladder::sidecar
