#include "connected_node.hpp"
#include "sidecar_cluster.hpp"

#include <gtest/gtest.h>

namespace azureladder::sidecar {

namespace {

/// A request at a gate that leaves its pings unanswered, and its second attempt at another gate.
struct repeated_request
{
    node_state m_state = make_connected_node({"a", "b"});
    std::pair<std::uint64_t, std::uint64_t> m_first;
    std::pair<std::uint64_t, std::uint64_t> m_second;
    time_point m_now = start_time;

    /// Effects of all steps since the first attempt was sent.
    effects m_done;
};

/// Steps a node and records the effects.
void step_and_record(repeated_request& request, const event& input)
{
    const effects done = step(request.m_state, input, request.m_now);
    request.m_done.insert(request.m_done.end(), done.begin(), done.end());
}

/// Advances the time in ticks of 25 ms. Only the peer that did not get the first attempt answers
/// pings.
void run_for(repeated_request& request, duration time)
{
    const time_point end = request.m_now + time;
    while (request.m_now < end) {
        request.m_now += milliseconds(25);
        const effects done = step(request.m_state, timer_tick{}, request.m_now);
        answer_pings(request.m_state, done, 3 - request.m_first.first, request.m_now);
        request.m_done.insert(request.m_done.end(), done.begin(), done.end());
    }
}

repeated_request send_repeated_request()
{
    repeated_request result;
    result.m_state.m_retry_budgets["orders"].m_tokens = 2.0;
    result.m_first = sent_request(step(result.m_state, make_request(), start_time));
    run_for(result, milliseconds(900));
    result.m_second = sent_request(result.m_done);
    return result;
}

frame_received refused(const std::pair<std::uint64_t, std::uint64_t>& sent)
{
    refusal_frame refusal;
    refusal.m_id = sent.second;
    refusal.m_reason = refusal_reason::overloaded;
    refusal.m_report.m_open = true;
    return {sent.first, refusal};
}

frame_received answered(const std::pair<std::uint64_t, std::uint64_t>& sent, int status)
{
    auto response = std::make_shared<server_response>();
    response->m_status = status;
    response_frame frame;
    frame.m_id = sent.second;
    frame.m_response = std::move(response);
    return {sent.first, frame};
}

} // namespace

// Guards against giving up a request at which a backend server works, because its gate is slow to
// answer pings and no other gate accepts the request: a stopping node answered 502 (LOST).
TEST(unresponsive_gate, request_is_not_given_up_when_no_other_gate_accepts_it)
{
    repeated_request request = send_repeated_request();
    ASSERT_NE(request.m_second.first, 0U);
    step_and_record(request, stop_requested{});
    step_and_record(request, refused(request.m_second));
    run_for(request, milliseconds(300));
    EXPECT_EQ(response_status(request.m_done), 0);
    EXPECT_TRUE(cancelled_requests(request.m_done, request.m_first.first).empty());
    const effects done = step(request.m_state, answered(request.m_first, 200), request.m_now);
    EXPECT_EQ(response_status(done), 200);
}

// Guards against two responses to a caller, and against work that continues for an answered caller.
TEST(unresponsive_gate, first_response_ends_the_other_attempt)
{
    for (const bool is_first_faster : {true, false}) {
        repeated_request request = send_repeated_request();
        ASSERT_NE(request.m_second.first, 0U);
        const auto& faster = is_first_faster ? request.m_first : request.m_second;
        const auto& slower = is_first_faster ? request.m_second : request.m_first;
        const effects done = step(request.m_state, answered(faster, 200), request.m_now);
        EXPECT_EQ(response_status(done), 200);
        EXPECT_EQ(cancelled_requests(done, slower.first),
                  std::vector<std::uint64_t>{slower.second});
        const effects late = step(request.m_state, answered(slower, 200), request.m_now);
        EXPECT_EQ(response_status(late), 0);
    }
}

// Guards against a failed response to the caller while another attempt can still succeed.
TEST(unresponsive_gate, failure_of_one_attempt_leaves_the_other_open)
{
    for (const bool is_first_faster : {true, false}) {
        repeated_request request = send_repeated_request();
        ASSERT_NE(request.m_second.first, 0U);
        const auto& faster = is_first_faster ? request.m_first : request.m_second;
        const auto& slower = is_first_faster ? request.m_second : request.m_first;
        const effects failed = step(request.m_state, answered(faster, 500), request.m_now);
        EXPECT_EQ(response_status(failed), 0);
        const effects done = step(request.m_state, answered(slower, 200), request.m_now);
        EXPECT_EQ(response_status(done), 200);
    }
}

// Guards against work that continues for a caller that disconnected while two gates had its
// request.
TEST(unresponsive_gate, all_attempts_of_a_disconnected_caller_are_cancelled)
{
    repeated_request request = send_repeated_request();
    ASSERT_NE(request.m_second.first, 0U);
    const effects done = step(request.m_state, caller_disconnected{1}, request.m_now);
    for (const auto& sent : {request.m_first, request.m_second})
        EXPECT_EQ(cancelled_requests(done, sent.first), std::vector<std::uint64_t>{sent.second});
}

// Guards against more executions than the attempts of the route allow.
TEST(unresponsive_gate, open_attempts_count_against_the_attempts_of_the_route)
{
    repeated_request request = send_repeated_request();
    ASSERT_NE(request.m_second.first, 0U);
    step_and_record(request, answered(request.m_second, 500));
    request.m_done.clear();
    run_for(request, milliseconds(400));
    EXPECT_EQ(sent_request(request.m_done).first, 0U);
}

// Guards against counting a pause of the ingress as time in which the gate could be connected
// again: it answered 502 to a request at which a backend server was at work.
TEST(unresponsive_gate, pause_of_the_ingress_does_not_count_as_an_unreachable_gate)
{
    node_state state = make_connected_node({"a"});
    ASSERT_EQ(sent_request(step(state, make_request(), start_time)).first, 1U);
    step(state, timer_tick{}, start_time + milliseconds(25));
    step(state, link_closed{1}, start_time + milliseconds(50));
    // The process stands still before its next tick, and then opens the connection.
    EXPECT_EQ(response_status(step(state, timer_tick{}, start_time + milliseconds(1000))), 0);
    step(state, link_opened{7, "a"}, start_time + milliseconds(1010));
    const effects done = step(state, frame_received{7, hello_frame{"a", 1, "a:0", "", {}, {}}},
                              start_time + milliseconds(1020));
    EXPECT_EQ(response_status(done), 0);
    bool is_resumed = false;
    for (const auto& effect : done) {
        const auto* frame = std::get_if<send_frame>(&effect);
        is_resumed |= frame != nullptr && std::holds_alternative<resume_frame>(frame->m_frame);
    }
    EXPECT_TRUE(is_resumed);
}

// Guards against an execution that nobody needs: the slow gate refuses the request at last, while
// the second gate, which answers its pings, still executes it.
TEST(unresponsive_gate, late_refusal_starts_no_attempt_beside_a_responsive_one)
{
    repeated_request request;
    request.m_state = make_connected_node({"a", "b", "c"});
    request.m_state.m_retry_budgets["orders"].m_tokens = 2.0;
    request.m_first = sent_request(step(request.m_state, make_request(), start_time));
    ASSERT_NE(request.m_first.first, 0U);
    while (request.m_second.first == 0 && request.m_now < start_time + milliseconds(900)) {
        request.m_now += milliseconds(25);
        const effects done = step(request.m_state, timer_tick{}, request.m_now);
        for (std::uint64_t link = 1; link <= 3; ++link) {
            if (link != request.m_first.first)
                answer_pings(request.m_state, done, link, request.m_now);
        }
        request.m_second = sent_request(done);
    }
    ASSERT_NE(request.m_second.first, 0U);
    refusal_frame late;
    late.m_id = request.m_first.second;
    late.m_reason = refusal_reason::arrived_late;
    late.m_report.m_open = true;
    const effects done =
        step(request.m_state, frame_received{request.m_first.first, late}, request.m_now);
    EXPECT_EQ(sent_request(done).first, 0U);
}

// Guards against repeats that are taken from the retry budget and not sent. A response that a peer
// made before its stop arrives after its status, and its report states that the peer is open.
TEST(unresponsive_gate, repeat_that_no_node_can_get_takes_nothing_from_the_budget)
{
    node_state state = make_connected_node({"a", "b"});
    const auto first = sent_request(step(state, make_request(), start_time));
    ASSERT_NE(first.first, 0U);
    std::pair<std::uint64_t, std::uint64_t> other;
    for (std::uint64_t caller = 2; other.first != 3 - first.first; ++caller) {
        ASSERT_LE(caller, 50U);
        caller_request request = make_request();
        request.m_caller = caller;
        other = sent_request(step(state, request, start_time));
    }
    state.m_retry_budgets["orders"].m_tokens = 4.0;
    std::size_t sent = 0;
    for (duration at = milliseconds(25); at <= milliseconds(1000); at += milliseconds(25)) {
        const time_point now = start_time + at;
        if (at == milliseconds(800)) {
            status_frame leaving;
            leaving.m_status.m_service = "orders";
            leaving.m_status.m_leaving = true;
            step(state, frame_received{other.first, leaving}, now);
            auto response = std::make_shared<server_response>();
            response->m_status = 200;
            response_frame frame;
            frame.m_id = other.second;
            frame.m_response = std::move(response);
            frame.m_report.m_open = true;
            step(state, frame_received{other.first, frame}, now);
        }
        const effects done = step(state, timer_tick{}, now);
        sent += sent_request(done).first != 0 ? 1 : 0;
        if (at < milliseconds(800))
            answer_pings(state, done, other.first, now);
    }
    EXPECT_EQ(sent, 0U);
    EXPECT_EQ(state.m_retry_budgets["orders"].m_tokens, 4.0);
}

// Guards against waiting for a slow gate until the deadline although the backend server beside the
// ingress could execute the request.
TEST(unresponsive_gate, request_is_repeated_at_the_local_backend_server)
{
    node_state state = make_connected_node({"a"}, "orders");
    backend_announcement announced;
    announced.m_id = "server";
    announced.m_service = "orders";
    announced.m_address = "server:0";
    announced.m_slots = 4;
    announced.m_sequence = 1;
    announced.m_started_at_ms = 1;
    // The only request is sent to the peer, because the local server joins later.
    ASSERT_EQ(sent_request(step(state, make_request(), start_time)).first, 1U);
    step(state, backend_announced{announced}, start_time);
    state.m_retry_budgets["orders"].m_tokens = 2.0;
    step(state, link_closed{1}, start_time + milliseconds(50));
    step(state, timer_tick{}, start_time + milliseconds(50));
    step(state, link_opened{7, "a"}, start_time + milliseconds(60));
    std::size_t started = 0;
    for (duration at = milliseconds(75); at <= milliseconds(1100); at += milliseconds(25)) {
        for (const auto& effect : step(state, timer_tick{}, start_time + at))
            started += std::holds_alternative<start_execution>(effect) ? 1 : 0;
    }
    EXPECT_EQ(started, 1U);
}

// Guards against giving up a request because its gate, which still runs, is slow to accept the new
// connection.
TEST(unresponsive_gate, request_is_kept_while_the_gate_has_not_answered_on_its_new_connection)
{
    node_state state = make_connected_node({"a"});
    const auto sent = sent_request(step(state, make_request(), start_time));
    ASSERT_EQ(sent.first, 1U);
    step(state, link_closed{1}, start_time + milliseconds(50));
    step(state, timer_tick{}, start_time + milliseconds(50));
    step(state, link_opened{7, "a"}, start_time + milliseconds(60));
    for (duration at = milliseconds(75); at <= milliseconds(1100); at += milliseconds(25))
        ASSERT_EQ(response_status(step(state, timer_tick{}, start_time + at)), 0) << to_ms(at);
    const time_point answered_at = start_time + milliseconds(1110);
    const effects done =
        step(state, frame_received{7, hello_frame{"a", 1, "a:0", "", {}, {}}}, answered_at);
    bool is_resumed = false;
    for (const auto& effect : done) {
        const auto* frame = std::get_if<send_frame>(&effect);
        is_resumed |= frame != nullptr && frame->m_link == 7 &&
                      std::holds_alternative<resume_frame>(frame->m_frame);
    }
    EXPECT_TRUE(is_resumed);
    EXPECT_EQ(response_status(step(state, answered({7, sent.second}, 200), answered_at)), 200);
}

// Guards against waiting for a gate whose VM or process is gone.
TEST(unresponsive_gate, request_fails_when_the_gate_cannot_be_reached_again)
{
    node_state state = make_connected_node({"a"});
    ASSERT_EQ(sent_request(step(state, make_request(), start_time)).first, 1U);
    step(state, link_closed{1}, start_time + milliseconds(50));
    int status = 0;
    for (duration at = milliseconds(50); at <= milliseconds(1100) && status == 0;
         at += milliseconds(25)) {
        for (const auto& effect : step(state, timer_tick{}, start_time + at)) {
            if (std::holds_alternative<connect_node>(effect))
                step(state, connect_failed{"a"}, start_time + at);
            const auto* response = std::get_if<respond_to_caller>(&effect);
            status = response != nullptr ? response->m_status : status;
        }
    }
    EXPECT_EQ(status, 502);
}

// Guards against a second execution of a non-idempotent request that its gate ended while the
// ingress was paused: the gate reported it as unknown, and the ingress sent it to another gate.
TEST(unresponsive_gate, request_ended_for_a_paused_ingress_is_not_executed_again)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        sidecar_cluster cluster({3, 0, seed});
        cluster.run_for(seconds(8));
        cluster.set_execution_time(milliseconds(1200));
        std::vector<std::string> sent;
        sent.reserve(9);
        for (int i = 0; i < 9; ++i)
            sent.push_back(cluster.send("orders-0", "orders"));
        cluster.run_for(milliseconds(50));
        cluster.freeze_node("orders-0", milliseconds(1000));
        cluster.reset_links("orders-0");
        cluster.run_for(seconds(3));
        for (const auto& id : sent)
            EXPECT_LE(cluster.executions(id), 1U) << "seed " << seed << ", " << id;
        EXPECT_TRUE(cluster.violations().empty())
            << "seed " << seed << ": " << cluster.violations().front();
    }
}

} // namespace azureladder::sidecar
