#include "connected_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace azureladder::sidecar {

// Guards against failing a request after one refusal because it has a key, although its service is
// not sharded. In a large deployment 17,349 of 24,965 requests failed for this reason.
TEST(ingress, key_of_an_unsharded_service_does_not_pin_a_request_to_one_node)
{
    node_state state = make_connected_node({"a", "b"});
    const auto first = sent_request(step(state, make_request(), start_time));
    ASSERT_NE(first.first, 0U);
    refusal_frame refusal;
    refusal.m_id = first.second;
    refusal.m_reason = refusal_reason::overloaded;
    refusal.m_report.m_open = true;
    const auto second = sent_request(step(state, frame_received{first.first, refusal}, start_time));
    EXPECT_NE(second.first, 0U);
    EXPECT_NE(second.first, first.first);
}

// Guards against a request that is queued as late at the first gate while another one may execute
// it in time.
TEST(ingress, only_the_last_gate_may_queue_a_request_as_late)
{
    node_state state = make_connected_node({"a", "b"});
    const auto accepts_late = [](const effects& done) {
        for (const auto& effect : done) {
            const auto* sent = std::get_if<send_frame>(&effect);
            if (sent != nullptr && std::holds_alternative<request_frame>(sent->m_frame))
                return std::get<request_frame>(sent->m_frame).m_accepts_late;
        }
        ADD_FAILURE() << "no request sent";
        return false;
    };
    const auto done = step(state, make_request(), start_time);
    EXPECT_FALSE(accepts_late(done));
    refusal_frame refusal;
    refusal.m_id = sent_request(done).second;
    refusal.m_reason = refusal_reason::overloaded;
    refusal.m_report.m_open = true;
    EXPECT_TRUE(
        accepts_late(step(state, frame_received{sent_request(done).first, refusal}, start_time)));
}

// Guards against a log line without the target of a request: its field had the same name as the
// field for the node that writes the line, and so was overwritten.
TEST(ingress, log_line_of_a_sent_request_contains_the_target_node)
{
    node_state state = make_connected_node({"a"});
    std::string target_node;
    for (const auto& effect : step(state, make_request(), start_time)) {
        const auto* line = std::get_if<log_line>(&effect);
        if (line != nullptr && line->m_event == "request_sent")
            target_node = line->m_fields.value("gate", "");
    }
    EXPECT_EQ(target_node, "a");
}

// Guards against finished requests that are not recorded, and against latencies measured from the
// newest attempt instead of the arrival of the request.
TEST(ingress, finished_request_is_recorded_with_its_latency)
{
    node_state state = make_connected_node({"a", "b"});
    const auto first = sent_request(step(state, make_request(), start_time));
    refusal_frame refusal;
    refusal.m_id = first.second;
    refusal.m_reason = refusal_reason::overloaded;
    refusal.m_report.m_open = true;
    const auto second = sent_request(
        step(state, frame_received{first.first, refusal}, start_time + milliseconds(20)));
    auto response = std::make_shared<server_response>();
    response->m_status = 200;
    response_frame frame;
    frame.m_id = second.second;
    frame.m_response = std::move(response);
    const auto done =
        step(state, frame_received{second.first, frame}, start_time + milliseconds(120));
    const record_request* recorded = nullptr;
    for (const auto& effect : done) {
        if (const auto* found = std::get_if<record_request>(&effect))
            recorded = found;
    }
    ASSERT_NE(recorded, nullptr);
    EXPECT_EQ(recorded->m_service, "orders");
    EXPECT_EQ(recorded->m_caller_service, "other");
    EXPECT_EQ(recorded->m_outcome, "answered");
    EXPECT_EQ(recorded->m_latency, duration(milliseconds(120)));
}

// Guards against waiting for an unresponsive node when another one can execute the request.
TEST(ingress, key_of_an_unsharded_service_does_not_keep_a_request_at_an_unresponsive_node)
{
    node_state state = make_connected_node({"a", "b"});
    state.m_retry_budgets["orders"].m_tokens = 2.0;
    const auto first = sent_request(step(state, make_request(), start_time));
    ASSERT_NE(first.first, 0U);
    // The other peer answers its pings.
    const std::uint64_t responsive_link = 3 - first.first;
    std::pair<std::uint64_t, std::uint64_t> second;
    for (int i = 0; i < 40 && second.first == 0; ++i) {
        const time_point now = start_time + milliseconds(25) * i;
        const auto done = step(state, timer_tick{}, now);
        second = sent_request(done);
        answer_pings(state, done, responsive_link, now);
    }
    EXPECT_EQ(second.first, responsive_link);
}

// Guards against a repeated request whose log lines do not state whether its gate was unresponsive
// or its connection was lost.
TEST(ingress, log_line_of_a_repeated_request_states_the_age_of_the_unanswered_ping)
{
    node_state state = make_connected_node({"a", "b"});
    state.m_retry_budgets["orders"].m_tokens = 2.0;
    const auto first = sent_request(step(state, make_request(), start_time));
    ASSERT_NE(first.first, 0U);
    for (duration at{}; at <= seconds(1); at += milliseconds(25)) {
        const auto done = step(state, timer_tick{}, start_time + at);
        answer_pings(state, done, 3 - first.first, start_time + at);
        for (const auto& effect : done) {
            const auto* line = std::get_if<log_line>(&effect);
            if (line == nullptr || line->m_event != "request_repeated")
                continue;
            EXPECT_EQ(line->m_fields.value("gate", ""), first.first == 1 ? "a" : "b");
            EXPECT_GT(line->m_fields.value("ping_pending_ms", 0), 600);
            EXPECT_EQ(line->m_fields.count("link_lost_ms"), 0U);
            return;
        }
    }
    FAIL() << "no line about the repeat";
}

// Guards against work that continues for a caller that disconnected while the connection to the
// gate was down.
TEST(ingress, cancel_is_sent_once_a_lost_connection_is_open_again)
{
    node_state state = make_connected_node({"a"});
    const auto sent = sent_request(step(state, make_request(), start_time));
    ASSERT_EQ(sent.first, 1U);
    step(state, link_closed{1}, start_time + milliseconds(50));
    step(state, caller_disconnected{1}, start_time + milliseconds(100));
    const auto done = reconnect(state, 7, 1, start_time + milliseconds(150));
    EXPECT_EQ(cancelled_requests(done, 7), std::vector<std::uint64_t>{sent.second});
}

// Guards against a cancel that is lost with the connection on which it was sent.
TEST(ingress, unconfirmed_cancel_is_sent_again_over_a_new_connection)
{
    node_state state = make_connected_node({"a"});
    const auto sent = sent_request(step(state, make_request(), start_time));
    const auto first = step(state, caller_disconnected{1}, start_time + milliseconds(50));
    EXPECT_EQ(cancelled_requests(first, 1), std::vector<std::uint64_t>{sent.second});
    step(state, link_closed{1}, start_time + milliseconds(100));
    const auto done = reconnect(state, 7, 1, start_time + milliseconds(150));
    EXPECT_EQ(cancelled_requests(done, 7), std::vector<std::uint64_t>{sent.second});
}

// Guards against a log line of a disconnect that doesn't say whether the gate was told.
TEST(ingress, log_line_of_a_disconnect_states_the_gate_and_whether_it_was_told)
{
    node_state state = make_connected_node({"a"});
    step(state, make_request(), start_time);
    for (const auto& effect : step(state, caller_disconnected{1}, start_time)) {
        const auto* line = std::get_if<log_line>(&effect);
        if (line == nullptr || line->m_event != "request_finished")
            continue;
        EXPECT_EQ(line->m_fields.value("outcome", ""), "caller_left");
        EXPECT_EQ(line->m_fields.value("gate", ""), "a");
        EXPECT_TRUE(line->m_fields.value("cancel_sent", false));
        return;
    }
    FAIL() << "no line about the end of the request";
}

namespace {

bool ends_process(const effects& done)
{
    return std::any_of(done.begin(), done.end(), [](const auto& effect) {
        return std::holds_alternative<stop_process>(effect);
    });
}

} // namespace

// Guards against accepting a request that the end of the process interrupts, when the grace period
// is shorter than the usual stop times.
TEST(ingress, request_late_in_a_short_grace_period_is_refused)
{
    node_state state = make_connected_node({"a"});
    set_max_stop_time(state.m_options, milliseconds(2500));
    step(state, stop_requested{}, start_time);
    EXPECT_EQ(response_status(step(state, make_request(), start_time + milliseconds(1600))), 503);
}

// Guards against a process that is killed because its shortest stop time exceeds the grace period.
TEST(ingress, idle_node_stops_within_a_short_grace_period)
{
    node_state state = make_connected_node({"a"});
    set_max_stop_time(state.m_options, milliseconds(2500));
    step(state, stop_requested{}, start_time);
    EXPECT_FALSE(ends_process(step(state, timer_tick{}, start_time + milliseconds(2400))));
    EXPECT_TRUE(ends_process(step(state, timer_tick{}, start_time + milliseconds(2500))));
}

// Guards against a log line for each event between the end of the work and the end of the process.
TEST(ingress, end_of_the_process_is_requested_once)
{
    node_state state = make_connected_node({"a"});
    step(state, stop_requested{}, start_time);
    EXPECT_TRUE(ends_process(step(state, timer_tick{}, start_time + milliseconds(3300))));
    EXPECT_FALSE(ends_process(step(state, timer_tick{}, start_time + milliseconds(3310))));
}

// Guards against accepting a request that takes longer than the rest of the grace period.
TEST(ingress, long_request_is_refused_by_a_stopping_node)
{
    node_state state = make_connected_node({"a"});
    auto configuration = *make_configuration();
    configuration.m_version = 2;
    configuration.m_routes.front().m_latency_objective = milliseconds(4000);
    routing::index_routes(configuration);
    step(state,
         configuration_decoded{
             6, "text", std::make_shared<routing::routing_configuration>(std::move(configuration))},
         start_time);
    step(state, stop_requested{}, start_time);
    caller_request early = make_request();
    EXPECT_EQ(response_status(step(state, early, start_time + milliseconds(1400))), 0);
    early.m_caller = 2;
    EXPECT_EQ(response_status(step(state, early, start_time + milliseconds(1600))), 503);
}

// Guards against 404, which callers do not repeat, and against an execution by the wrong service,
// when the operator's entry of a route can't be used.
TEST(ingress, requests_of_unusable_routes_are_refused_as_not_executed)
{
    for (const bool is_matchable : {true, false}) {
        node_state state = make_connected_node({"a"});
        auto configuration = *make_configuration();
        configuration.m_version = 2;
        if (is_matchable)
            configuration.m_routes.front().m_is_unusable = true;
        else
            configuration.m_routes.clear();
        configuration.m_has_unmatchable_routes = !is_matchable;
        routing::index_routes(configuration);
        step(state,
             configuration_decoded{
                 6, "text",
                 std::make_shared<routing::routing_configuration>(std::move(configuration))},
             start_time);
        EXPECT_EQ(response_status(step(state, make_request(), start_time)), 503) << is_matchable;
    }
}

// Guards against a response with an invalid status or header field that another node, perhaps of
// an older version, passes on to the caller.
TEST(ingress, malformed_response_of_a_node_is_a_failed_attempt)
{
    const std::vector<server_response> malformed = {
        {0, {}, "body"},
        {99, {}, "body"},
        {101, {}, "body"},
        {600, {}, "body"},
        {-200, {}, "body"},
        {200, {{"", "1"}}, "body"},
        {200, {{" Content-Length", "1"}}, "body"},
        {200, {{"X Y", "1"}}, "body"},
        {200, {{"X\x01Y", "1"}}, "body"},
        {200, {{"X\x7f", "1"}}, "body"},
        {200, {{"X", "1\r\nY: 2"}}, "body"},
        {500, {{"X:", "1"}}, "body"},
    };
    for (std::size_t i = 0; i < malformed.size(); ++i) {
        SCOPED_TRACE(i);
        node_state state = make_connected_node({"a"});
        const auto sent = sent_request(step(state, make_request(), start_time));
        response_frame frame;
        frame.m_id = sent.second;
        frame.m_response = std::make_shared<server_response>(malformed[i]);
        const auto done =
            step(state, frame_received{sent.first, frame}, start_time + milliseconds(50));
        EXPECT_EQ(response_status(done), 502);
    }
}

// Guards against a response that shows the execution of a request, but is taken as that of a node
// without its body: the request was sent again, or refused with 503.
TEST(ingress, unusable_response_before_the_body_ends_a_non_idempotent_request_as_executed)
{
    const std::vector<std::pair<server_response, int>> cases = {
        {{0, {}, "body"}, 502}, {{200, {{"X Y", "1"}}, "b"}, 502}, {{500, {}, "body"}, 500}};
    for (const auto& [response, expected_status] : cases) {
        SCOPED_TRACE(response.m_status);
        node_state state = make_connected_node({"a", "b"});
        auto configuration = std::make_shared<routing::routing_configuration>(
            *state.m_active_configuration.m_configuration);
        configuration->m_routes.front().m_kind = routing::request_kind::non_idempotent;
        state.m_active_configuration.m_configuration = configuration;
        caller_request arrived = make_request();
        arrived.m_request.m_body = std::string(state.m_options.m_separate_body_bytes + 1, 'b');
        const auto sent = sent_request(step(state, arrived, start_time));
        ASSERT_NE(sent.first, 0U);
        response_frame frame;
        frame.m_id = sent.second;
        frame.m_response = std::make_shared<server_response>(response);
        const auto done =
            step(state, frame_received{sent.first, frame}, start_time + milliseconds(50));
        EXPECT_EQ(sent_request(done).first, 0U);
        EXPECT_EQ(response_status(done), expected_status);
    }
}

} // namespace azureladder::sidecar
