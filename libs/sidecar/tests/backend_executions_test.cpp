#include <azureladder/sidecar/step.hpp>

#include <gtest/gtest.h>

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

} // namespace azureladder::sidecar
