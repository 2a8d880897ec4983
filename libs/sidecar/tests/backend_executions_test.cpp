#include <azureladder/sidecar/step.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

constexpr time_point start_time{std::chrono::seconds(1000)};

/// A node with a backend server of the service "orders"; link 1 leads to it from the node "origin".
node_state make_gate()
{
    node_options options;
    options.m_node = "gate";
    options.m_service = "orders";
    node_state state = make_node(options, start_time, 1);
    auto configuration = std::make_shared<routing::routing_configuration>();
    configuration->m_version = 1;
    configuration->m_services["orders"].m_name = "orders";
    routing::index_routes(*configuration);
    step(state, configuration_decoded{5, "text", std::move(configuration)}, start_time);
    backend_announcement announced;
    announced.m_id = "server";
    announced.m_service = "orders";
    announced.m_address = "server:0";
    announced.m_slots = 1;
    announced.m_sequence = 1;
    announced.m_started_at_ms = 1;
    step(state, backend_announced{announced}, start_time);
    step(state, link_opened{1, ""}, start_time);
    step(state, frame_received{1, hello_frame{"origin", 1, "origin:0", "", {}, {}}}, start_time);
    return state;
}

request_frame make_request(std::uint64_t id)
{
    auto request = std::make_shared<forwarded_request>();
    request->m_request_id = "r" + std::to_string(id);
    request->m_service = "orders";
    request->m_route = "plain";
    request_frame frame;
    frame.m_id = id;
    frame.m_request = std::move(request);
    frame.m_remaining_us = frame.m_target_us = 2'000'000;
    return frame;
}

request_frame make_request(std::uint64_t id, time_point sent_at)
{
    request_frame frame = make_request(id);
    frame.m_sent_us = to_us(sent_at);
    return frame;
}

/// Reasons of the refusals that a step sends.
std::vector<refusal_reason> refusals(const effects& done)
{
    std::vector<refusal_reason> result;
    for (const auto& effect : done) {
        const auto* sent = std::get_if<send_frame>(&effect);
        if (sent == nullptr)
            continue;
        if (const auto* refusal = std::get_if<refusal_frame>(&sent->m_frame))
            result.push_back(refusal->m_reason);
    }
    return result;
}

using reasons = std::vector<refusal_reason>;

std::size_t started_executions(const effects& done)
{
    std::size_t count = 0;
    for (const auto& effect : done)
        count += std::holds_alternative<start_execution>(effect) ? 1 : 0;
    return count;
}

} // namespace

TEST(backend_executions, request_is_executed)
{
    node_state state = make_gate();
    EXPECT_EQ(started_executions(step(state, frame_received{1, make_request(8)}, start_time)), 1U);
}

// Guards against the execution of a request whose cancel arrives before it: over a newer
// connection, or ahead of other input.
TEST(backend_executions, request_that_arrives_after_its_cancel_is_not_executed)
{
    node_state state = make_gate();
    step(state, frame_received{1, cancel_frame{8}}, start_time);
    EXPECT_EQ(started_executions(step(state, frame_received{1, make_request(8)}, start_time)), 0U);
    EXPECT_EQ(started_executions(step(state, frame_received{1, make_request(9)}, start_time)), 1U);
}

// Guards against the execution of requests that were held up on their way for so long that their
// callers have left: by a link full of documents, or because this node or the ingress stood still
// for 600 ms. The clock of the ingress differs by an unknown offset.
TEST(backend_executions, request_that_was_held_up_on_its_way_is_not_executed)
{
    node_state state = make_gate();
    const duration offset = seconds(500);
    const duration way = milliseconds(4);
    const auto arrive = [&](const peer_frame& frame, duration at) {
        return step(state, frame_received{1, frame}, start_time + at);
    };
    arrive(ping_frame{1, to_us(start_time - offset)}, way);
    EXPECT_EQ(started_executions(arrive(make_request(8, start_time - offset), way)), 1U);
    step(state, execution_ended{1, execution_result::not_sent, {}, "", false}, start_time + way);
    const effects late = arrive(make_request(9, start_time - offset), milliseconds(600));
    EXPECT_EQ(started_executions(late), 0U);
    EXPECT_EQ(refusals(late), (reasons{refusal_reason::arrived_late}));
    const effects in_time =
        arrive(make_request(10, start_time - offset + milliseconds(600)), milliseconds(605));
    EXPECT_EQ(started_executions(in_time), 1U);
}

// Guards against a deadline at the backend server that is later than the caller's by the time that
// the request was on its way.
TEST(backend_executions, time_on_the_way_counts_against_the_deadline)
{
    node_state state = make_gate();
    step(state, frame_received{1, ping_frame{1, to_us(start_time)}}, start_time);
    const effects done =
        step(state, frame_received{1, make_request(8, start_time)}, start_time + milliseconds(300));
    ASSERT_EQ(started_executions(done), 1U);
    for (const auto& effect : done) {
        const auto* started = std::get_if<start_execution>(&effect);
        if (started != nullptr) {
            EXPECT_LE(started->m_remaining, duration(milliseconds(1700)));
        }
    }
}

// Guards against the start of waiting requests whose ingress is cut off and can't cancel them.
TEST(backend_executions, waiting_request_of_a_silent_ingress_is_not_started)
{
    node_state state = make_gate();
    step(state, frame_received{1, make_request(8)}, start_time);
    step(state, frame_received{1, make_request(9)}, start_time);
    reasons refused;
    for (duration at{}; at <= seconds(1); at += milliseconds(25)) {
        for (const auto reason : refusals(step(state, timer_tick{}, start_time + at)))
            refused.push_back(reason);
    }
    EXPECT_EQ(refused, (reasons{refusal_reason::origin_silent}));
    const effects ended = step(state, execution_ended{1, execution_result::not_sent, {}, "", false},
                               start_time + milliseconds(1100));
    EXPECT_EQ(started_executions(ended), 0U);
}

// Guards against giving up waiting requests because this node itself stood still.
TEST(backend_executions, pause_of_the_node_does_not_count_as_silence_of_an_ingress)
{
    node_state state = make_gate();
    step(state, frame_received{1, make_request(8)}, start_time);
    step(state, frame_received{1, make_request(9)}, start_time);
    step(state, timer_tick{}, start_time);
    EXPECT_TRUE(refusals(step(state, timer_tick{}, start_time + milliseconds(1000))).empty());
}

// Guards against giving up an execution whose ingress has connected again and is slow to resume it.
// An ingress with a new process has no requests to resume.
TEST(backend_executions, execution_is_kept_for_an_ingress_that_has_connected_again)
{
    for (const std::uint64_t incarnation : {1U, 2U}) {
        node_state state = make_gate();
        step(state, frame_received{1, make_request(8)}, start_time);
        step(state, link_closed{1}, start_time);
        std::size_t cancelled = 0;
        for (duration at = milliseconds(25); at <= milliseconds(1400); at += milliseconds(25)) {
            if (at == milliseconds(700)) {
                step(state, link_opened{2, ""}, start_time + at);
                step(state,
                     frame_received{2, hello_frame{"origin", incarnation, "origin:0", "", {}, {}}},
                     start_time + at);
            }
            for (const auto& effect : step(state, timer_tick{}, start_time + at))
                cancelled += std::holds_alternative<cancel_execution>(effect) ? 1 : 0;
        }
        EXPECT_EQ(cancelled, incarnation == 1 ? 0U : 1U);
    }
}

// Guards against the start of a waiting request in the slot of another one, when the ingress of
// both is lost.
TEST(backend_executions, waiting_request_of_a_lost_ingress_is_not_started)
{
    node_state state = make_gate();
    step(state, frame_received{1, make_request(8)}, start_time);
    step(state, frame_received{1, make_request(9)}, start_time);
    step(state, link_closed{1}, start_time);
    std::size_t started = 0;
    for (duration at{}; at <= seconds(1); at += milliseconds(25))
        started += started_executions(step(state, timer_tick{}, start_time + at));
    EXPECT_EQ(started, 0U);
    EXPECT_TRUE(state.m_admission_controller.m_running.empty());
}

// Guards against two executions of a non-idempotent request whose ingress was away for longer than
// results are retained, but returns before its deadline: an unknown request counts as not executed.
TEST(backend_executions, result_is_retained_until_the_deadline_of_its_request)
{
    node_state state = make_gate();
    request_frame frame = make_request(8);
    frame.m_remaining_us = frame.m_target_us = 20'000'000;
    ASSERT_EQ(started_executions(step(state, frame_received{1, frame}, start_time)), 1U);
    step(state, link_closed{1}, start_time);
    time_point now = start_time;
    for (; now < start_time + seconds(12); now += milliseconds(25))
        step(state, timer_tick{}, now);
    step(state, link_opened{2, ""}, now);
    step(state, frame_received{2, hello_frame{"origin", 1, "origin:0", "", {}, {}}}, now);
    EXPECT_EQ(refusals(step(state, frame_received{2, resume_frame{8}}, now)), reasons());
}

// Guards against counting a pause of the gate as time in which the ingress could connect again: an
// execution is cut although its ingress waits for it.
TEST(backend_executions, pause_of_the_node_does_not_count_as_the_loss_of_an_ingress)
{
    node_state state = make_gate();
    step(state, frame_received{1, make_request(8)}, start_time);
    step(state, timer_tick{}, start_time);
    step(state, link_closed{1}, start_time);
    // The process stands still. The hello frame of the new connection is read after the tick.
    std::size_t cancelled = 0;
    for (const auto& effect : step(state, timer_tick{}, start_time + milliseconds(1000)))
        cancelled += std::holds_alternative<cancel_execution>(effect) ? 1 : 0;
    EXPECT_EQ(cancelled, 0U);
}

// Guards against the start of a waiting request whose ingress has connected again and has not
// resumed it within 0.8 s of the loss of the connection: its caller may have disconnected.
TEST(backend_executions, waiting_request_that_is_not_resumed_in_time_is_not_started)
{
    node_state state = make_gate();
    step(state, link_opened{3, ""}, start_time);
    step(state, frame_received{3, hello_frame{"other", 1, "other:0", "", {}, {}}}, start_time);
    step(state, frame_received{3, make_request(8)}, start_time);
    step(state, frame_received{1, make_request(9)}, start_time);
    const std::uint64_t running = state.m_executions.begin()->first;
    step(state, link_closed{1}, start_time);
    std::size_t started = 0;
    for (duration at{}; at <= milliseconds(1400); at += milliseconds(25)) {
        const time_point now = start_time + at;
        step(state, frame_received{3, ping_frame{1, 0}}, now);
        if (at == milliseconds(700)) {
            step(state, link_opened{2, ""}, now);
            step(state, frame_received{2, hello_frame{"origin", 1, "origin:0", "", {}, {}}}, now);
        }
        if (at == milliseconds(1200)) {
            execution_ended ended;
            ended.m_execution = running;
            ended.m_result = execution_result::unknown;
            started += started_executions(step(state, ended, now));
        }
        started += started_executions(step(state, timer_tick{}, now));
    }
    EXPECT_EQ(started, 0U);
}

// Guards against long responses that exhaust the memory while they are retained for their ingress,
// or replace all ordinary ones. A request whose response was dropped must not be executed again.
TEST(backend_executions, retained_responses_stay_within_the_memory_limit)
{
    node_state state = make_gate();
    state.m_options.m_max_retained_bytes = 1'000'000;
    const auto execute = [&](std::uint64_t id, std::size_t body_bytes) {
        step(state, frame_received{1, make_request(id)}, start_time);
        const auto response = std::make_shared<server_response>();
        response->m_status = 200;
        response->m_body = std::string(body_bytes, 'x');
        step(state, execution_ended{id, execution_result::answered, response, "", false},
             start_time);
        EXPECT_LE(state.m_retained_bytes, 1'000'000U);
    };
    execute(1, 20'000);
    for (std::uint64_t id = 2; id <= 6; ++id)
        execute(id, 400'000);
    step(state, link_closed{1}, start_time);
    step(state, link_opened{2, ""}, start_time);
    std::vector<bool> is_answered;
    const auto record = [&](const effects& done) {
        for (const auto& effect : done) {
            const auto* sent = std::get_if<send_frame>(&effect);
            if (sent != nullptr && std::holds_alternative<response_frame>(sent->m_frame))
                is_answered.push_back(true);
            else if (sent != nullptr && std::holds_alternative<failure_frame>(sent->m_frame))
                is_answered.push_back(false);
        }
    };
    record(step(state, frame_received{2, hello_frame{"origin", 1, "origin:0", "", {}, {}}},
                start_time));
    for (std::uint64_t id = 1; id <= 6; ++id)
        record(step(state, frame_received{2, resume_frame{id}}, start_time));
    EXPECT_EQ(is_answered, (std::vector<bool>{true, false, false, false, true, true}));
    step(state, timer_tick{}, start_time + seconds(11));
    EXPECT_EQ(state.m_retained_bytes, 0U);
    EXPECT_TRUE(state.m_executions.empty());
}

// Guards against a server that counts as failing because it was full, against one that resets every
// request and never counts as failing, and against a refusal, since either may have executed the
// request.
TEST(backend_executions, reset_by_a_full_server_does_not_count_as_its_failure)
{
    const auto reset_next = [](node_state& state, std::uint64_t id) {
        step(state, frame_received{1, make_request(id)}, start_time);
        execution_ended ended;
        ended.m_execution = id;
        ended.m_result = execution_result::unknown;
        ended.m_is_reset = true;
        const effects done = step(state, ended, start_time);
        EXPECT_TRUE(refusals(done).empty());
        EXPECT_TRUE(std::any_of(done.begin(), done.end(), [](const auto& effect) {
            const auto* sent = std::get_if<send_frame>(&effect);
            return sent != nullptr && std::holds_alternative<failure_frame>(sent->m_frame);
        }));
    };
    node_state full = make_gate();
    reset_next(full, 1);
    EXPECT_EQ(full.m_backend->m_unanswered_executions, 0U);
    EXPECT_EQ(full.m_admission_controller.m_failure_share, 0.0);
    reset_next(full, 2);
    EXPECT_EQ(full.m_backend->m_unanswered_executions, 1U);
    EXPECT_GT(full.m_admission_controller.m_failure_share, 0.0);

    node_state free = make_gate();
    free.m_backend->m_announcement.m_slots = 2;
    reset_next(free, 1);
    EXPECT_EQ(free.m_backend->m_unanswered_executions, 1U);
}

// Guards against an estimate that keeps the offset of the clocks from before a suspension.
TEST(frame_delay, forgets_the_offset_of_the_clocks)
{
    frame_delay_estimate estimate;
    EXPECT_EQ(record_frame(estimate, seconds(5), start_time), duration::zero());
    EXPECT_EQ(record_frame(estimate, seconds(6), start_time + seconds(3)), duration(seconds(2)));
    duration last{};
    for (int i = 4; i < 40; ++i)
        last = record_frame(estimate, seconds(3 + i), start_time + seconds(i));
    EXPECT_EQ(last, duration::zero());
}

} // namespace azureladder::sidecar
