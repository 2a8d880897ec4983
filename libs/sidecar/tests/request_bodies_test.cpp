#include "connected_node.hpp"
#include "sidecar_cluster.hpp"

#include <gtest/gtest.h>

namespace azureladder::sidecar {

namespace {

constexpr std::size_t body_bytes = 60'000;

/// A gate with a backend server of the service "orders"; link 1 leads to it from the node "origin".
node_state make_gate(std::uint32_t slots, double bytes_per_s = 1'000'000)
{
    node_options options;
    options.m_node = "gate";
    options.m_service = "orders";
    options.m_body_transfers.m_bytes_per_s = bytes_per_s;
    node_state state = make_node(options, start_time, 1);
    step(state, configuration_decoded{5, "text", make_configuration()}, start_time);
    backend_announcement announced;
    announced.m_id = "server";
    announced.m_service = "orders";
    announced.m_address = "server:0";
    announced.m_slots = slots;
    announced.m_sequence = 1;
    announced.m_started_at_ms = 1;
    step(state, backend_announced{announced}, start_time);
    step(state, link_opened{1, ""}, start_time);
    step(state, frame_received{1, hello_frame{"origin", 1, "origin:0", "", {}, {}}}, start_time);
    return state;
}

effects send_upload(node_state& state, std::uint64_t id, time_point now = start_time,
                    std::size_t bytes = body_bytes)
{
    auto request = std::make_shared<forwarded_request>();
    request->m_request_id = "r" + std::to_string(id);
    request->m_service = "orders";
    request->m_route = "plain";
    request_frame frame;
    frame.m_id = id;
    frame.m_request = std::move(request);
    frame.m_remaining_us = 4'000'000;
    frame.m_target_us = 1'000'000;
    frame.m_body_bytes = bytes;
    return step(state, frame_received{1, frame}, now);
}

effects send_body(node_state& state, std::uint64_t id, time_point now, std::uint64_t link = 1,
                  std::size_t bytes = body_bytes)
{
    return step(state,
                frame_received{
                    link, body_frame{id, std::make_shared<std::string>(std::string(bytes, 'b'))}},
                now);
}

/// Ids of the frames of a kind that a step sends.
template <class Frame>
std::vector<std::uint64_t> sent(const effects& done)
{
    std::vector<std::uint64_t> result;
    for (const auto& effect : done) {
        const auto* frame = std::get_if<send_frame>(&effect);
        if (frame != nullptr && std::holds_alternative<Frame>(frame->m_frame))
            result.push_back(std::get<Frame>(frame->m_frame).m_id);
    }
    return result;
}

std::vector<start_execution> started(const effects& done)
{
    std::vector<start_execution> result;
    for (const auto& effect : done) {
        if (const auto* start = std::get_if<start_execution>(&effect))
            result.push_back(*start);
    }
    return result;
}

using ids = std::vector<std::uint64_t>;

caller_request make_upload()
{
    caller_request request = make_request();
    request.m_request.m_body = std::string(body_bytes, 'b');
    return request;
}

/// Makes the route of `make_configuration` non-idempotent.
void set_uploads(node_state& state)
{
    auto configuration = std::make_shared<routing::routing_configuration>(*make_configuration());
    configuration->m_routes[0].m_kind = routing::request_kind::upload;
    routing::index_routes(*configuration);
    step(state, configuration_decoded{6, "uploads", std::move(configuration)}, start_time);
}

} // namespace

// Guards against an execution without the body, and against transfers that count as execution time.
TEST(request_bodies, execution_starts_with_the_body)
{
    node_state state = make_gate(4);
    const effects admitted = send_upload(state, 8);
    EXPECT_EQ(sent<body_request_frame>(admitted), ids{8});
    EXPECT_TRUE(started(admitted).empty());
    EXPECT_EQ(state.m_admission_controller.m_running.size(), 1U);
    const time_point arrived = start_time + milliseconds(300);
    const auto executions = started(send_body(state, 8, arrived));
    ASSERT_EQ(executions.size(), 1U);
    EXPECT_EQ(executions[0].m_request->m_body, std::string(body_bytes, 'b'));
    EXPECT_TRUE(started(send_body(state, 8, arrived)).empty());
    auto response = std::make_shared<server_response>();
    response->m_status = 200;
    step(
        state,
        execution_ended{executions[0].m_execution, execution_result::answered, response, "", false},
        arrived + milliseconds(50));
    EXPECT_EQ(state.m_admission_controller.m_mean_service_time, duration(milliseconds(50)));
    EXPECT_EQ(state.m_separate_bodies.m_memory_bytes, 0U);
}

// Guards against calls that wait behind bodies on the link of the gate, and against a transfer for
// requests that are refused.
TEST(request_bodies, bodies_in_transfer_are_limited_by_the_link)
{
    node_state state = make_gate(40);
    ids requested;
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const effects done = send_upload(state, id);
        for (const std::uint64_t body : sent<body_request_frame>(done))
            requested.push_back(body);
        refused += sent<refusal_frame>(done).size();
    }
    // The link transfers three bodies in 200 ms, and 13 before 0.9 of the target of 1 s is over.
    EXPECT_EQ(requested, (ids{1, 2, 3}));
    EXPECT_EQ(refused, 27U);
    // The others take no slots, which calls need.
    EXPECT_EQ(state.m_admission_controller.m_running.size(), 3U);
    EXPECT_EQ(sent<body_request_frame>(send_body(state, 1, start_time + milliseconds(80))), ids{4});
    // The others are not blocked by bodies that another link delays.
    EXPECT_EQ(sent<body_request_frame>(step(state, timer_tick{}, start_time + milliseconds(1090))),
              (ids{5, 6, 7}));
}

// Guards against a slot that is idle during the transfer under load: the body of the next request
// arrives before the slot is free.
TEST(request_bodies, body_of_the_next_request_is_requested_before_a_slot_is_free)
{
    node_state state = make_gate(1);
    send_upload(state, 1);
    const auto first = started(send_body(state, 1, start_time));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(sent<body_request_frame>(send_upload(state, 2)), ids{2});
    EXPECT_TRUE(sent<body_request_frame>(send_upload(state, 3)).empty());
    const time_point end = start_time + milliseconds(90);
    EXPECT_TRUE(started(send_body(state, 2, start_time + milliseconds(80))).empty());
    const effects next =
        step(state,
             execution_ended{first[0].m_execution, execution_result::not_sent, {}, "", false}, end);
    ASSERT_EQ(started(next).size(), 1U);
    EXPECT_EQ(started(next)[0].m_request->m_body.size(), body_bytes);
    EXPECT_EQ(sent<body_request_frame>(next), ids{3});
}

// Guards against a slot that stays reserved for a request whose caller has left, whose deadline has
// passed, whose ingress is silent or lost, or whose server is gone, and against an execution when
// the body arrives after that.
TEST(request_bodies, request_that_ends_before_its_body_arrives_is_not_executed)
{
    const auto expect_ended = [](node_state& state, time_point now, const char* cause) {
        EXPECT_TRUE(state.m_admission_controller.m_running.empty()) << cause;
        EXPECT_EQ(state.m_admission_controller.m_awaited_bodies, 0U) << cause;
        EXPECT_EQ(state.m_separate_bodies.m_memory_bytes, 0U) << cause;
        EXPECT_EQ(state.m_separate_bodies.m_missing_bytes, 0U) << cause;
        EXPECT_TRUE(started(send_body(state, 8, now)).empty()) << cause;
    };
    const auto run_to = [](node_state& state, duration end, bool pings) {
        ids refused;
        for (duration at = milliseconds(25); at <= end; at += milliseconds(25)) {
            if (pings)
                step(state, frame_received{1, ping_frame{}}, start_time + at);
            for (const auto id : sent<refusal_frame>(step(state, timer_tick{}, start_time + at)))
                refused.push_back(id);
        }
        return refused;
    };
    node_state cancelled = make_gate(1);
    send_upload(cancelled, 8);
    step(cancelled, frame_received{1, cancel_frame{8}}, start_time);
    expect_ended(cancelled, start_time, "cancelled");

    node_state late = make_gate(1);
    late.m_options.m_first_announcement_lifetime = seconds(60);
    send_upload(late, 8);
    EXPECT_EQ(run_to(late, milliseconds(4000), true), ids{8});
    expect_ended(late, start_time + milliseconds(4000), "deadline");

    node_state silent = make_gate(1);
    send_upload(silent, 8);
    EXPECT_EQ(run_to(silent, milliseconds(900), false), ids{8});
    expect_ended(silent, start_time + milliseconds(900), "silent ingress");

    node_state lost = make_gate(1);
    send_upload(lost, 8);
    step(lost, link_closed{1}, start_time);
    EXPECT_TRUE(run_to(lost, milliseconds(900), false).empty());
    expect_ended(lost, start_time + milliseconds(900), "lost ingress");

    node_state removed = make_gate(1);
    send_upload(removed, 8);
    step(removed, backend_removed{"server", 9000}, start_time);
    EXPECT_EQ(run_to(removed, milliseconds(1100), true), ids{8});
    expect_ended(removed, start_time + milliseconds(1100), "server left");

    node_state replaced = make_gate(2);
    send_upload(replaced, 7);
    const auto executions = started(send_body(replaced, 7, start_time));
    ASSERT_EQ(executions.size(), 1U);
    send_upload(replaced, 8);
    const effects done =
        step(replaced,
             execution_ended{executions[0].m_execution, execution_result::rejected, {}, "", true},
             start_time);
    EXPECT_EQ(sent<refusal_frame>(done), (ids{7, 8}));
    expect_ended(replaced, start_time, "server replaced");

    node_state damaged = make_gate(1);
    send_upload(damaged, 8);
    EXPECT_EQ(sent<refusal_frame>(send_body(damaged, 8, start_time, 1, 5)), ids{8});
    expect_ended(damaged, start_time, "wrong length");
}

// Guards against a request whose body was lost with its connection and is never requested again,
// also if the new connection is seen before the loss of the former one.
TEST(request_bodies, body_is_requested_again_over_a_new_connection)
{
    for (const bool is_loss_seen_first : {true, false}) {
        node_state state = make_gate(1);
        send_upload(state, 8);
        if (is_loss_seen_first)
            step(state, link_closed{1}, start_time);
        step(state, link_opened{2, ""}, start_time);
        step(state, frame_received{2, hello_frame{"origin", 1, "origin:0", "", {}, {}}},
             start_time);
        const effects resumed = step(state, frame_received{2, resume_frame{8}}, start_time);
        EXPECT_EQ(sent<body_request_frame>(resumed), ids{8});
        if (!is_loss_seen_first)
            step(state, link_closed{1}, start_time);
        EXPECT_EQ(started(send_body(state, 8, start_time, 2)).size(), 1U);
    }
}

// Guards against an execution at a server that has lost the lease on the key while the body was in
// transfer. The server would reject it, and the attempt counts against the budget of retries.
TEST(request_bodies, request_whose_key_moves_during_the_transfer_is_not_sent_to_the_server)
{
    std::size_t started_without_lease = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        sidecar_cluster cluster({1, 3, seed});
        cluster.run_for(seconds(8));
        cluster.send_bodies();
        cluster.observe([&](const std::string& node, const effect& wanted) {
            const auto* start = std::get_if<start_execution>(&wanted);
            if (start != nullptr && start->m_request->m_key &&
                !cluster.backend(node).has_lease(*start->m_request->m_key, cluster.now()))
                ++started_without_lease;
            const auto* line = std::get_if<log_line>(&wanted);
            if (line != nullptr && line->m_event == "request_refused" &&
                line->m_fields.at("reason") == "not_owner")
                ++refused;
        });
        for (std::uint32_t i = 0; i < 100; ++i) {
            if (i == 50)
                cluster.backend("shelf-1").m_draining = true;
            cluster.send("orders-0", "shelf", i * 653);
            cluster.run_for(milliseconds(10));
        }
        cluster.run_for(seconds(3));
        EXPECT_TRUE(cluster.violations().empty()) << cluster.violations().front();
    }
    EXPECT_EQ(started_without_lease, 0U);
    EXPECT_GT(refused, 0U);
}

// Guards against bursts to a cold server: bodies that arrive together must not exceed its rate.
TEST(request_bodies, requests_that_await_their_bodies_count_against_the_cold_rate)
{
    routing::admission_controller controller;
    const routing::admission_options options;
    controller.m_limit = 100;
    controller.m_cold_rate_per_s = 11;
    std::size_t admitted = 0;
    std::size_t executed = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        routing::admission_request request;
        request.m_id = id;
        request.m_awaits_body = true;
        request.m_target = request.m_deadline = start_time + seconds(60);
        const time_point now = start_time + milliseconds(100 * id);
        admitted += routing::admit(controller, request, now, options).m_admission ==
                            routing::admission::start
                        ? 1
                        : 0;
    }
    EXPECT_EQ(admitted, 12U);
    const time_point now = start_time + seconds(5);
    for (std::uint64_t id = 1; id <= 12; ++id)
        routing::record_arrived_body(controller, id, now, now);
    executed = controller.m_recent_starts.size();
    EXPECT_EQ(executed, 12U);
    EXPECT_TRUE(routing::start_waiting_requests(controller, now, options).empty());
}

// Guards against bodies that travel with requests which the gate may refuse.
TEST(request_bodies, ingress_sends_the_body_when_the_gate_requests_it)
{
    node_state state = make_connected_node({"a"});
    set_uploads(state);
    const effects done = step(state, make_upload(), start_time);
    const auto [link, id] = sent_request(done);
    ASSERT_EQ(link, 1U);
    for (const auto& effect : done) {
        const auto* frame = std::get_if<send_frame>(&effect);
        if (frame == nullptr || !std::holds_alternative<request_frame>(frame->m_frame))
            continue;
        const auto& request = std::get<request_frame>(frame->m_frame);
        EXPECT_TRUE(request.m_request->m_body.empty());
        EXPECT_EQ(request.m_body_bytes, body_bytes);
    }
    EXPECT_EQ(sent<body_frame>(step(state, frame_received{1, body_request_frame{id}}, start_time)),
              ids{id});
    // The gate may ask again after a lost connection, and for a request that has ended.
    EXPECT_EQ(sent<body_frame>(step(state, frame_received{1, body_request_frame{id}}, start_time)),
              ids{id});
    step(state, caller_disconnected{1}, start_time);
    const effects ended = step(state, frame_received{1, body_request_frame{id}}, start_time);
    EXPECT_TRUE(sent<body_frame>(ended).empty());
    EXPECT_EQ(sent<cancel_frame>(ended), ids{id});
}

// Guards against a non-idempotent request that fails although the gate can't have executed it, and
// against a second execution of one that it may have executed.
TEST(request_bodies, lost_gate_fails_only_requests_whose_body_it_got)
{
    for (const bool is_body_sent : {false, true}) {
        node_state state = make_connected_node({"a", "b"});
        set_uploads(state);
        const auto [link, id] = sent_request(step(state, make_upload(), start_time));
        ASSERT_NE(link, 0U);
        if (is_body_sent)
            step(state, frame_received{link, body_request_frame{id}}, start_time);
        step(state, link_closed{link}, start_time);
        int status = 0;
        std::uint64_t other = 0;
        for (duration at = milliseconds(25); at <= milliseconds(1100); at += milliseconds(25)) {
            const effects done = step(state, timer_tick{}, start_time + at);
            for (const auto& effect : done) {
                if (const auto* connecting = std::get_if<connect_node>(&effect))
                    step(state, connect_failed{connecting->m_node}, start_time + at);
            }
            answer_pings(state, done, 3 - link, start_time + at);
            other = std::max(other, sent_request(done).first);
            status = std::max(status, response_status(done));
        }
        EXPECT_EQ(status, is_body_sent ? 502 : 0);
        EXPECT_EQ(other, is_body_sent ? 0 : 3 - link);
    }
}

// Guards against 504, which forbids a retry, for a request that was certainly not executed.
TEST(request_bodies, deadline_before_the_body_is_requested_is_a_refusal)
{
    for (const bool is_body_sent : {false, true}) {
        node_state state = make_connected_node({"a"});
        set_uploads(state);
        const auto [link, id] = sent_request(step(state, make_upload(), start_time));
        if (is_body_sent)
            step(state, frame_received{link, body_request_frame{id}}, start_time);
        int status = 0;
        for (duration at = milliseconds(25); at <= milliseconds(1600); at += milliseconds(25)) {
            const effects done = step(state, timer_tick{}, start_time + at);
            answer_pings(state, done, link, start_time + at);
            status = std::max(status, response_status(done));
        }
        EXPECT_EQ(status, is_body_sent ? 504 : 503);
    }
}

} // namespace azureladder::sidecar
