#include "connected_node.hpp"

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

} // namespace azureladder::sidecar
