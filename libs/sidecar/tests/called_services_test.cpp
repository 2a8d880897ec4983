#include "connected_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace azureladder::sidecar {

// Guards against a gate that goes on to start requests while no server of the service that their
// executions call is open.
TEST(called_services, reports_of_a_called_service_limit_new_requests)
{
    node_state state = make_connected_node({"a"});
    for (int i = 0; i < 20; ++i) {
        routing::record_execution(state.m_nested_calls);
        routing::record_call(state.m_nested_calls, "orders");
    }
    peer_state& called = state.m_peers.at("a");
    called.m_reported_at = start_time;
    called.m_status.m_report.m_open = false;
    const auto logs = [&](const char* event, time_point now) {
        const auto done = step(state, timer_tick{}, now);
        return std::any_of(done.begin(), done.end(), [&](const auto& effect) {
            const auto* line = std::get_if<log_line>(&effect);
            return line != nullptr && line->m_event == event;
        });
    };
    EXPECT_TRUE(logs("calls_scarce", start_time));
    EXPECT_EQ(state.m_admission_controller.m_new_request_share, 0.0);
    EXPECT_TRUE(logs("calls_sufficient", start_time + milliseconds(2100)));
    EXPECT_EQ(state.m_admission_controller.m_new_request_share, 1.0);
}

} // namespace azureladder::sidecar
