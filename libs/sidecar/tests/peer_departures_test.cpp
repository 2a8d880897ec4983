#include "connected_node.hpp"
#include "step_context.hpp"

#include <gtest/gtest.h>

namespace azureladder::sidecar {

// Guards against a restarted node that the store refuses and that uses a server whose departure it
// has stored: all processes have ended, so only the store has the departure.
TEST(peer_departures, read_from_the_store_are_sent_when_the_peer_connects)
{
    node_state state = make_connected_node({});
    const departed_servers departed = {{"i-1", 1000}};
    step(state, nodes_listed{{{"c", "c:0"}}, {{"c", departed}}}, start_time);
    bool is_sent = false;
    for (const effect& done : step(state, link_opened{7, "c"}, start_time)) {
        const auto* sent = std::get_if<send_frame>(&done);
        const auto* hello = sent == nullptr ? nullptr : std::get_if<hello_frame>(&sent->m_frame);
        is_sent = is_sent || (hello != nullptr && hello->m_departed_servers == departed);
    }
    EXPECT_TRUE(is_sent);
}

// Guards against requests to a server whose removal another node has acknowledged. The node beside
// the server learns of it from the other's status, before or after the server's announcement.
TEST(peer_departures, acknowledged_by_another_node_binds_the_node_of_the_server)
{
    for (const bool is_announced_first : {true, false}) {
        node_state state = make_connected_node({"a"}, "orders");
        backend_announcement announced;
        announced.m_id = "i-1";
        announced.m_service = "orders";
        announced.m_slots = 4;
        announced.m_started_at_ms = 2000;
        announced.m_sequence = 1;
        status_frame status;
        status.m_status.m_service = "orders";
        status.m_status.m_departed_servers = {{"i-1", 9000}};
        if (is_announced_first)
            step(state, backend_announced{announced}, start_time);
        step(state, frame_received{1, status}, start_time);
        step(state, backend_announced{announced}, start_time);
        EXPECT_FALSE(accepts_requests(state, start_time));
        EXPECT_EQ(state.m_departed_servers, (departed_servers{{"i-1", 2000}}));
        // A later incarnation has not left.
        announced.m_started_at_ms = 9500;
        step(state, backend_announced{announced}, start_time);
        EXPECT_TRUE(accepts_requests(state, start_time));
    }
}

} // namespace azureladder::sidecar
