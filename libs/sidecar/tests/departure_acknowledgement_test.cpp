#include "leaving_server.hpp"

namespace azureladder::sidecar {

namespace {

/// Delay of announcements in milliseconds, and whether the server can be checked.
using announcement_delay = std::tuple<int, bool>;

class late_leaving_server : public leaving_server,
                            public testing::WithParamInterface<announcement_delay>
{
protected:
    late_leaving_server() { m_is_uncheckable = !std::get<bool>(GetParam()); }

    static duration param_delay() { return milliseconds(std::get<int>(GetParam())); }
};

} // namespace

// Guards against requests to a server that has left: its departure was acknowledged while nothing
// could be stored, all processes were killed, and announcements from before the departure arrived.
TEST_P(late_leaving_server, is_not_used_after_a_restart)
{
    run_for(seconds(4));
    m_delay = param_delay();
    run_for(seconds(8));
    remove();
    EXPECT_LE(run_until_acknowledged(seconds(20)), max_wait);
    ASSERT_TRUE(is_acknowledged());
    restart();
    EXPECT_FALSE(is_used_later());
}

// The same if the announcements became late shortly before the removal, so that they are missing.
TEST_P(late_leaving_server, is_not_used_after_its_announcements_were_missing)
{
    run_for(seconds(8));
    m_delay = param_delay();
    run_for(m_delay - milliseconds(200));
    remove();
    EXPECT_LE(run_until_acknowledged(seconds(20)), max_wait);
    restart();
    EXPECT_FALSE(is_used_later());
}

// The same for a server that announces its departure: "draining" overtakes the announcements that
// were sent before.
TEST_P(late_leaving_server, is_not_used_after_draining_has_overtaken_announcements)
{
    run_for(seconds(4));
    m_delay = param_delay();
    run_for(seconds(8));
    m_is_draining = m_is_leaving = true;
    m_is_announcing = false;
    m_delay = {};
    send_announcement();
    m_removed_at = m_now;
    EXPECT_LE(run_until_acknowledged(seconds(20), static_cast<std::uint64_t>(m_sequence)),
              max_wait);
    restart();
    EXPECT_FALSE(is_used_later());
}

// The same for announcements that a paused process had not read.
TEST_P(late_leaving_server, is_not_used_after_a_pause_and_a_restart)
{
    m_delay = param_delay();
    run_for(seconds(8));
    remove();
    m_now += seconds(5);
    run_for(max_wait);
    ASSERT_TRUE(is_acknowledged());
    restart();
    EXPECT_FALSE(is_used_later());
}

INSTANTIATE_TEST_SUITE_P(delays, late_leaving_server,
                         testing::Combine(testing::Values(900, 1700, 2500, 4000, 6000, 8000),
                                          testing::Bool()),
                         [](const auto& info) {
                             return std::to_string(std::get<int>(info.param)) +
                                    (std::get<bool>(info.param) ? "_ms" : "_ms_uncheckable");
                         });

// Guards against requests to a server that has left, after the restart of all processes: a copy of
// its last announcement arrives alone, at any time.
TEST_F(leaving_server, single_late_announcement_does_not_restore_it)
{
    run_for(seconds(8));
    const backend_announcement last = m_state.m_backend->m_announcement;
    remove();
    run_until_acknowledged(seconds(20));
    for (const bool is_uncheckable : {false, true}) {
        m_is_uncheckable = is_uncheckable;
        for (const int arrival_ms : {50, 400, 1000, 2000, 2800, 3500, 5000, 9000}) {
            restart();
            run_for(milliseconds(arrival_ms));
            receive(backend_announced{last, 0});
            EXPECT_FALSE(is_used_later()) << arrival_ms;
        }
    }
}

// Guards against acknowledgements that wait although the store has the departure.
TEST_F(leaving_server, stored_departure_is_acknowledged_at_once)
{
    m_delay = milliseconds(2500);
    run_for(seconds(8));
    remove();
    EXPECT_FALSE(is_acknowledged());
    receive(departures_stored{{{"i-1", m_state.m_backend->m_announcement.m_started_at_ms}}});
    EXPECT_TRUE(is_acknowledged());
}

// Guards against an acknowledgement that the sender does not wait for: while the store is down,
// also one of an announced departure takes less than the second within which it counts.
TEST_F(leaving_server, draining_is_acknowledged_soon)
{
    run_for(seconds(8));
    m_is_draining = m_is_leaving = true;
    const std::int64_t first = m_sequence + 1;
    while (m_sequence < first)
        run_for(tick);
    m_removed_at = m_now;
    EXPECT_LE(run_until_acknowledged(seconds(20), static_cast<std::uint64_t>(first)), max_wait);
    EXPECT_FALSE(is_used());
}

// Guards against the removal of a server that is acknowledged before the store and the peers can
// have it, because the former incarnation under its id has left long before.
TEST_F(leaving_server, removal_of_the_next_incarnation_waits_for_the_store)
{
    run_for(seconds(8));
    m_is_draining = m_is_leaving = true;
    run_for(seconds(2));
    m_is_announcing = m_is_leaving = false;
    backend_announcement next = m_state.m_backend->m_announcement;
    next.m_started_at_ms += 5000;
    next.m_draining = false;
    next.m_sequence = 1;
    receive(backend_announced{next, 0});
    ASSERT_TRUE(is_used());
    remove();
    EXPECT_FALSE(is_acknowledged());
    run_for(max_wait);
    EXPECT_TRUE(is_acknowledged());
    EXPECT_FALSE(is_used());
}

// Guards against a removal that is never acknowledged: this process has not received an
// announcement of the server, and each repetition names a later start.
TEST_F(leaving_server, repeated_removal_of_an_unknown_server_is_acknowledged)
{
    m_is_announcing = false;
    for (std::uint64_t i = 0; i < 5; ++i) {
        receive(backend_removed{"i-0", 9000 + static_cast<std::int64_t>(i), removal + i});
        run_for(milliseconds(100));
    }
    EXPECT_TRUE(is_acknowledged(removal));
    EXPECT_TRUE(is_acknowledged(removal + 4));
}

// Guards against memory that grows with the repetitions of a removal.
TEST_F(leaving_server, number_of_waiting_removals_is_limited)
{
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
    EXPECT_TRUE(is_used());
}

// Guards against a response to each announcement that waits for a former server's departure.
TEST_F(leaving_server, announcement_of_the_next_server_is_answered_at_once)
{
    run_for(seconds(8));
    remove();
    backend_announcement next = m_state.m_backend->m_announcement;
    next.m_id = "i-2";
    next.m_started_at_ms += 5000;
    next.m_sequence = 1;
    receive(backend_announced{next, removal + 1});
    EXPECT_TRUE(is_acknowledged(removal + 1));
    EXPECT_FALSE(is_acknowledged());
}

} // namespace azureladder::sidecar
