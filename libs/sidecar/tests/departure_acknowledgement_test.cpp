#include "connected_node.hpp"
#include "step_context.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace azureladder::sidecar {

namespace {

constexpr duration heartbeat = milliseconds(870);
constexpr duration tick = milliseconds(5);
constexpr std::uint64_t removal = 1'000'000;

/// Time after a restart from which on an acknowledged departure binds the node.
constexpr duration contact = seconds(3);

/// A node whose server "i-1" announces itself regularly. The announcements may be delayed on their
/// way, also beyond the end of a process of the node. The store is down unless a test answers.
class leaving_server : public testing::Test
{
protected:
    leaving_server() { restart(); }

    void restart()
    {
        m_state = make_connected_node({}, "orders");
        m_state.m_started_at = m_state.m_last_tick = m_now;
        m_state.m_current_announcements_from = m_now + m_state.m_options.m_max_announcement_delay;
        m_state.m_confirmation_needed_from = m_now + m_state.m_options.m_unconfirmed_use_time;
    }

    void receive(const event& input)
    {
        for (const effect& done : step(m_state, input, m_now)) {
            if (const auto* response = std::get_if<respond_to_backend>(&done))
                m_responses[response->m_message] = response->m_is_acknowledged;
        }
    }

    /// The server sends an announcement, which arrives after `m_delay`.
    void send_announcement()
    {
        backend_announcement announcement;
        announcement.m_id = "i-1";
        announcement.m_service = "orders";
        announcement.m_address = "10.0.0.1:8301";
        announcement.m_slots = 4;
        announcement.m_started_at_ms = 1000;
        announcement.m_draining = m_is_draining;
        announcement.m_sequence = ++m_sequence;
        m_under_way.push_back(
            {m_now + m_delay, {announcement, static_cast<std::uint64_t>(m_sequence)}});
    }

    void run_for(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += tick) {
            if (m_is_announcing && m_now >= m_next_announcement_at) {
                send_announcement();
                m_next_announcement_at = m_now + heartbeat;
            }
            while (!m_under_way.empty() && m_under_way.front().first <= m_now) {
                const backend_announced arrived = m_under_way.front().second;
                m_under_way.pop_front();
                receive(arrived);
            }
            receive(timer_tick{});
        }
    }

    /// Removes the server, which then announces itself no more.
    void remove()
    {
        m_is_announcing = false;
        receive(backend_removed{"i-1", 9000, removal});
        m_removed_at = m_now;
    }

    bool is_acknowledged(std::uint64_t message = removal) const
    {
        const auto found = m_responses.find(message);
        return found != m_responses.end() && found->second;
    }

    /// Returns how long the acknowledgement took after the removal, or `limit` if there is none.
    duration run_until_acknowledged(duration limit, std::uint64_t message = removal)
    {
        while (!is_acknowledged(message) && m_now - m_removed_at < limit)
            run_for(tick);
        return m_now - m_removed_at;
    }

    /// Whether the server receives requests at some time from `contact` after a restart on.
    bool is_used_after_restart()
    {
        restart();
        run_for(contact);
        bool is_used = false;
        for (int i = 0; i < 100; ++i) {
            is_used = is_used || accepts_requests(m_state, m_now);
            run_for(milliseconds(50));
        }
        return is_used;
    }

    node_state m_state;
    time_point m_now = start_time;
    duration m_delay{};
    bool m_is_announcing = true;
    bool m_is_draining = false;
    time_point m_next_announcement_at = start_time;
    std::int64_t m_sequence = 0;
    std::deque<std::pair<time_point, backend_announced>> m_under_way;
    std::map<std::uint64_t, bool> m_responses;
    time_point m_removed_at;
};

/// The same with announcements that are delayed by a number of milliseconds.
class late_leaving_server : public leaving_server, public testing::WithParamInterface<int>
{
};

} // namespace

// Guards against requests to a server that has left: its departure was acknowledged while nothing
// could be stored, all processes were killed, and announcements from before the departure arrived.
TEST_P(late_leaving_server, is_acknowledged_when_its_announcements_have_ended)
{
    run_for(seconds(4));
    m_delay = milliseconds(GetParam());
    run_for(seconds(8));
    remove();
    // One interval, and a quarter that shows that the next announcement is overdue.
    EXPECT_LT(run_until_acknowledged(seconds(20)), m_delay + heartbeat * 1.25 + tick * 2);
    ASSERT_TRUE(is_acknowledged());
    EXPECT_TRUE(m_under_way.empty());
    EXPECT_FALSE(is_used_after_restart());
}

// The same for an outage that has not ended when the removal arrives during a step in the delay:
// the announcements are missing.
TEST_P(late_leaving_server, is_not_acknowledged_while_its_announcements_are_missing)
{
    run_for(seconds(8));
    m_delay = milliseconds(GetParam());
    run_for(m_delay - milliseconds(200));
    remove();
    run_until_acknowledged(seconds(20));
    ASSERT_TRUE(is_acknowledged());
    EXPECT_FALSE(is_used_after_restart());
}

// The same for a server that announces its departure: "draining" overtakes the announcements that
// were sent before.
TEST_P(late_leaving_server, draining_is_acknowledged_when_earlier_announcements_have_arrived)
{
    run_for(seconds(4));
    m_delay = milliseconds(GetParam());
    run_for(seconds(8));
    m_is_draining = true;
    m_is_announcing = false;
    m_delay = {};
    send_announcement();
    m_under_way.push_front(m_under_way.back());
    m_under_way.pop_back();
    m_removed_at = m_now;
    run_until_acknowledged(seconds(20), static_cast<std::uint64_t>(m_sequence));
    ASSERT_TRUE(is_acknowledged(static_cast<std::uint64_t>(m_sequence)));
    EXPECT_TRUE(m_under_way.empty());
    EXPECT_FALSE(is_used_after_restart());
}

// Guards against a healthy server that loses work because its announcements are late: also after a
// restart of all processes it is used from the first one on.
TEST_P(late_leaving_server, keeps_its_work_while_it_stays)
{
    m_delay = milliseconds(GetParam());
    run_for(seconds(8));
    restart();
    run_for(heartbeat + tick);
    for (int i = 0; i < 200; ++i) {
        EXPECT_TRUE(accepts_requests(m_state, m_now)) << i;
        run_for(milliseconds(50));
    }
}

INSTANTIATE_TEST_SUITE_P(delays, late_leaving_server, testing::Values(900, 1700, 2500, 4000, 6000),
                         [](const auto& info) { return std::to_string(info.param) + "_ms"; });

// Guards against requests to a server that has left, once the nodes are in touch again after the
// restart of all processes: a copy of its last announcement arrives alone.
TEST_F(leaving_server, single_late_announcement_does_not_restore_it_for_long)
{
    run_for(seconds(8));
    const backend_announcement last = m_state.m_backend->m_announcement;
    remove();
    run_until_acknowledged(seconds(20));
    for (const int arrival_ms : {50, 400, 1000, 2000, 2800, 3500, 5000}) {
        restart();
        const time_point restarted_at = m_now;
        run_for(milliseconds(arrival_ms));
        receive(backend_announced{last, 0});
        while (m_now - restarted_at < seconds(8)) {
            const bool is_in_touch = m_now - restarted_at >= contact;
            EXPECT_FALSE(is_in_touch && accepts_requests(m_state, m_now)) << arrival_ms;
            run_for(milliseconds(50));
        }
    }
}

// Guards against acknowledgements that wait although the store has the departure.
TEST_F(leaving_server, stored_departure_is_acknowledged_at_once)
{
    m_delay = milliseconds(2500);
    run_for(seconds(8));
    remove();
    receive(departures_stored{{{"i-1", 1000}}});
    EXPECT_TRUE(is_acknowledged());
}

// Guards against an acknowledgement that the sender does not wait for: a server whose
// announcements are in time is acknowledged within about an interval while the store is down.
TEST_F(leaving_server, is_acknowledged_soon_when_its_announcements_were_in_time)
{
    run_for(seconds(8));
    remove();
    EXPECT_LE(run_until_acknowledged(seconds(20)), heartbeat * 1.25 + tick * 2);
}

// The same for one that announces its departure.
TEST_F(leaving_server, draining_is_acknowledged_soon_when_its_announcements_were_in_time)
{
    run_for(seconds(8));
    m_is_draining = true;
    const std::int64_t first = m_sequence + 1;
    while (m_sequence < first)
        run_for(tick);
    m_removed_at = m_now;
    EXPECT_LE(run_until_acknowledged(seconds(20), static_cast<std::uint64_t>(first)),
              m_state.m_options.m_departure_store_wait + tick * 2);
}

// The same if an earlier announcement has arrived out of order, and not if it is still missing,
// even if another one arrives twice.
TEST_F(leaving_server, draining_waits_for_an_announcement_that_was_overtaken)
{
    for (const bool arrives : {true, false}) {
        restart();
        m_sequence = 0;
        run_for(seconds(8));
        backend_announcement overtaken = m_state.m_backend->m_announcement;
        const auto send = [&](std::int64_t sequence, bool is_draining) {
            backend_announcement announcement = overtaken;
            announcement.m_sequence = sequence;
            announcement.m_draining = is_draining;
            receive(backend_announced{announcement, static_cast<std::uint64_t>(sequence)});
        };
        m_sequence += 3;
        send(m_sequence - 1, false);
        send(arrives ? m_sequence - 2 : m_sequence - 3, false);
        m_responses.clear();
        m_is_announcing = false;
        send(m_sequence, true);
        m_removed_at = m_now;
        run_for(m_state.m_options.m_departure_store_wait + tick);
        EXPECT_EQ(is_acknowledged(static_cast<std::uint64_t>(m_sequence)), arrives);
        m_is_announcing = true;
    }
}

// Guards against the removal of a server that counts on the announcements of the former one with
// its id.
TEST_F(leaving_server, next_incarnation_is_not_acknowledged_by_the_announcements_of_the_former)
{
    run_for(seconds(8));
    m_is_draining = true;
    run_for(seconds(2));
    ASSERT_TRUE(m_state.m_unstored_departures.at("i-1").m_has_all_announcements);
    m_is_announcing = false;
    backend_announcement next = m_state.m_backend->m_announcement;
    next.m_started_at_ms = 5000;
    next.m_draining = false;
    for (next.m_sequence = 1; next.m_sequence < 6; ++next.m_sequence) {
        receive(backend_announced{next, 0});
        run_for(heartbeat);
    }
    receive(backend_announced{next, 0});
    remove();
    run_for(m_state.m_options.m_departure_store_wait + tick);
    EXPECT_FALSE(is_acknowledged());
    run_for(heartbeat);
    EXPECT_TRUE(is_acknowledged());
}

// Guards against an acknowledgement that precedes announcements which a paused process has not
// read yet.
TEST_F(leaving_server, pause_of_the_process_does_not_count_as_silence)
{
    m_delay = milliseconds(2500);
    run_for(seconds(8));
    remove();
    m_now += seconds(5);
    receive(backend_removed{"i-1", 9000, removal + 1});
    EXPECT_FALSE(is_acknowledged(removal + 1));
    run_for(milliseconds(500));
    EXPECT_FALSE(is_acknowledged());
    run_for(seconds(3));
    EXPECT_TRUE(is_acknowledged());
}

// Guards against a removal that is never acknowledged: this process has not received an
// announcement of the server, and each repetition names a later start.
TEST_F(leaving_server, repeated_removal_of_an_unknown_server_is_acknowledged)
{
    m_is_announcing = false;
    for (std::uint64_t i = 0; i < 5; ++i) {
        receive(backend_removed{"i-0", 9000 + static_cast<std::int64_t>(i), removal + i});
        run_for(seconds(1));
    }
    EXPECT_TRUE(is_acknowledged(removal));
    EXPECT_TRUE(is_acknowledged(removal + 4));
}

// Guards against memory that grows with the repetitions of a removal.
TEST_F(leaving_server, number_of_waiting_removals_is_limited)
{
    m_delay = milliseconds(2500);
    run_for(seconds(8));
    for (std::uint64_t i = 0; i < 40; ++i)
        receive(backend_removed{"i-1", 9000, removal + i});
    EXPECT_LE(m_state.m_pending_acknowledgements.size(), 16U);
    // The oldest are refused, so that their senders don't wait.
    EXPECT_FALSE(m_responses.at(removal));
    EXPECT_EQ(m_responses.count(removal + 39), 0U);
}

// Guards against an acknowledged departure that no node keeps: the announcement of another service
// is ignored.
TEST_F(leaving_server, ignored_departure_is_not_acknowledged)
{
    run_for(seconds(2));
    backend_announcement stray = m_state.m_backend->m_announcement;
    stray.m_service = "telemetry";
    stray.m_draining = true;
    receive(backend_announced{stray, removal});
    EXPECT_FALSE(m_responses.at(removal));
    EXPECT_TRUE(accepts_requests(m_state, m_now));
}

// Guards against a response to each announcement that waits for a former server's departure.
TEST_F(leaving_server, announcement_of_the_next_server_is_answered_at_once)
{
    m_delay = milliseconds(2500);
    run_for(seconds(8));
    remove();
    backend_announcement next;
    next.m_id = "i-2";
    next.m_service = "orders";
    next.m_address = "10.0.0.1:8301";
    next.m_started_at_ms = 5000;
    next.m_sequence = 1;
    receive(backend_announced{next, removal + 1});
    EXPECT_TRUE(is_acknowledged(removal + 1));
    EXPECT_FALSE(is_acknowledged());
}

} // namespace azureladder::sidecar
