#include "connected_node.hpp"
#include "leaving_server.hpp"

#include <random>

namespace azureladder::sidecar {

namespace {

/// How the delays of announcements change over time.
enum class delay_pattern
{
    none,
    constant,
    drawn,
    last_ones,
    falling,
    growing
};

constexpr int delay_patterns = 6;
constexpr duration max_delay = seconds(8);

/// Time from the start of the server to its departure, or to the restart of the node without one.
constexpr duration run_time = seconds(12);

/// A server whose announcements are delayed as a seed draws it. All processes are killed after its
/// departure, or without one, while the store is down.
class server_with_delays : public leaving_server, public testing::WithParamInterface<std::uint64_t>
{
protected:
    server_with_delays()
        : m_random(GetParam()), m_pattern(static_cast<delay_pattern>(m_random() % delay_patterns)),
          m_longest_delay(draw_up_to(max_delay))
    {
        // The intervals of a server drift by a few percent.
        m_interval_share = 0.95 + 0.1 * static_cast<double>(m_random() % 1000) / 1000;
        m_late_from = start_time + run_time - draw_up_to(seconds(3));
        m_is_uncheckable = m_random() % 2 == 0;
    }

    duration draw_up_to(duration limit)
    {
        return duration(
            static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(limit.count() + 1)));
    }

    duration next_delay()
    {
        const double elapsed = std::chrono::duration<double>(m_now - start_time) / run_time;
        switch (m_pattern) {
        case delay_pattern::none:
            break;
        case delay_pattern::constant:
            return m_longest_delay;
        case delay_pattern::drawn:
            return draw_up_to(m_longest_delay);
        case delay_pattern::last_ones:
            return m_now < m_late_from ? duration{} : m_longest_delay;
        case delay_pattern::falling:
            return scaled(std::max(0.0, 1.0 - elapsed));
        case delay_pattern::growing:
            return scaled(std::min(1.0, elapsed));
        }
        return {};
    }

    duration scaled(double share) const
    {
        return std::chrono::duration_cast<duration>(m_longest_delay * share);
    }

    void run_with_delays(duration time)
    {
        for (const time_point end = m_now + time; m_now < end;) {
            m_delay = next_delay();
            run_for(tick);
        }
    }

    /// Kills the process at some time up to 1 s from now on and starts the next one. The time of
    /// day may have been stepped by up to 2 s before.
    void kill_and_restart()
    {
        run_with_delays(draw_up_to(seconds(1)));
        m_is_down = true;
        run_with_delays(draw_up_to(seconds(1)));
        restart(draw_up_to(seconds(4)) - seconds(2));
    }

    std::mt19937_64 m_random;
    delay_pattern m_pattern;
    duration m_longest_delay;
    time_point m_late_from;
};

} // namespace

// Guards against requests to a server that has left, as in review/9, whatever the delays of its
// announcements are.
TEST_P(server_with_delays, is_not_used_after_its_departure)
{
    run_with_delays(run_time);
    std::uint64_t message = removal;
    if (m_random() % 2 == 0) {
        remove();
    } else {
        m_is_draining = m_is_leaving = true;
        m_delay = next_delay();
        send_announcement();
        message = static_cast<std::uint64_t>(m_sequence);
    }
    while (!is_acknowledged(message))
        run_with_delays(tick);
    EXPECT_FALSE(is_used());
    kill_and_restart();
    EXPECT_FALSE(is_used_later());
}

// Guards against a healthy server that loses its work after a restart because its announcements are
// late. One that can't be checked gets it back within the time that a recovery may take.
TEST_P(server_with_delays, is_used_again_while_it_stays)
{
    run_with_delays(run_time);
    kill_and_restart();
    const time_point restarted_at = m_now;
    time_point announced_at{};
    while (!is_used() && m_now - restarted_at < seconds(20)) {
        if (announced_at == time_point{} && m_state.m_backend)
            announced_at = m_now;
        run_with_delays(tick);
    }
    ASSERT_TRUE(is_used());
    if (m_is_uncheckable)
        EXPECT_LE(m_now - restarted_at, seconds(10) + max_delay + heartbeat * 2);
    else
        EXPECT_EQ(announced_at, time_point{}) << "not used from its first announcement on";
    // It is used from then on, although its announcements may be missing for the longest delay.
    for (const time_point end = m_now + seconds(12); !m_is_uncheckable && m_now < end;) {
        EXPECT_TRUE(is_used());
        run_with_delays(tick);
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, server_with_delays,
                         testing::Range(std::uint64_t{1}, std::uint64_t{101}));

// Guards against a healthy server that loses its work because its announcements become late all at
// once, and against one that stays in use although it does not respond any more.
TEST_F(leaving_server, responding_server_is_used_while_its_announcements_are_missing)
{
    run_for(seconds(4));
    m_delay = seconds(30);
    m_checks = 0;
    for (int i = 0; i < 20; ++i) {
        run_for(seconds(1));
        EXPECT_TRUE(is_used()) << i;
    }
    EXPECT_LE(m_checks, 7U);
    m_is_unresponsive = true;
    run_for(seconds(4));
    EXPECT_FALSE(is_used());
}

// Guards against a server that stays unused after it has been frozen.
TEST_F(leaving_server, frozen_server_is_used_again)
{
    run_for(seconds(4));
    m_is_announcing = false;
    m_is_unresponsive = true;
    run_for(seconds(6));
    EXPECT_FALSE(is_used());
    m_is_announcing = true;
    m_is_unresponsive = false;
    run_for(heartbeat);
    EXPECT_TRUE(is_used());
}

// Guards against a restarted node that does not use its server for good because the server could
// not respond to the first check, or was unhealthy at first.
TEST_F(leaving_server, server_is_checked_again_until_it_responds)
{
    run_for(seconds(4));
    restart();
    m_is_unresponsive = true;
    run_for(heartbeat * 4);
    EXPECT_FALSE(is_used());
    m_is_unresponsive = false;
    m_is_leaving = true;
    run_for(heartbeat * 4);
    EXPECT_FALSE(is_used());
    m_is_leaving = false;
    run_for(heartbeat * 2);
    EXPECT_TRUE(is_used());
}

// Guards against checks in a row, each of which costs, while a departed server still serves.
TEST_F(leaving_server, server_is_checked_at_most_twice_a_second)
{
    run_for(seconds(4));
    restart();
    m_checks = 0;
    m_is_leaving = true;
    m_is_announcing = false;
    for (int i = 0; i < 40; ++i)
        send_announcement();
    run_for(seconds(3));
    EXPECT_LE(m_checks, 2U);
}

// Guards against a restarted node that does not use a new server at once.
TEST_F(leaving_server, server_that_started_after_the_process_is_used_without_a_response)
{
    m_is_unresponsive = true;
    run_for(heartbeat);
    EXPECT_TRUE(is_used());
}

// Guards against requests to a server that has left and can't be checked: announcements that the
// process reads after a pause were not sent after it.
TEST_F(leaving_server, pause_of_the_process_does_not_make_announcements_current)
{
    m_is_uncheckable = true;
    run_for(seconds(4));
    restart();
    m_is_announcing = false;
    send_announcement();
    run_for(seconds(1));
    m_now += seconds(15);
    run_for(tick);
    send_announcement();
    run_for(seconds(1));
    EXPECT_FALSE(is_used());
}

// Guards against a server that is confirmed by another one at its address.
TEST_F(leaving_server, server_that_another_one_has_replaced_is_not_used)
{
    run_for(seconds(4));
    restart();
    m_is_announcing = false;
    backend_announcement late = {};
    late.m_id = "i-1";
    late.m_service = "orders";
    late.m_address = "10.0.0.1:8301";
    late.m_slots = 4;
    const effects done = step(m_state, backend_announced{late, 0}, m_now);
    for (const effect& wanted : done) {
        if (const auto* check = std::get_if<check_backend>(&wanted))
            step(m_state,
                 backend_checked{check->m_check, backend_check_result::replaced, "status 200"},
                 m_now);
    }
    EXPECT_FALSE(m_state.m_backend);
    EXPECT_FALSE(is_used());
}

// Guards against an earlier check that speaks for the next server at the address.
TEST_F(leaving_server, late_result_of_a_check_does_not_count_for_the_next_server)
{
    run_for(seconds(4));
    restart();
    backend_announcement announced = {};
    announced.m_id = "i-2";
    announced.m_service = "orders";
    announced.m_address = "10.0.0.1:8301";
    announced.m_slots = 4;
    step(m_state, backend_announced{announced, 0}, m_now);
    const std::uint64_t check = m_state.m_backend->m_check;
    ASSERT_NE(check, 0U);
    announced.m_id = "i-3";
    announced.m_started_at_ms = 1;
    step(m_state, backend_announced{announced, 0}, m_now);
    step(m_state, backend_checked{check, backend_check_result::in_service, ""}, m_now);
    EXPECT_FALSE(is_used());
}

} // namespace azureladder::sidecar
