#include "sidecar_cluster.hpp"

#include <gtest/gtest.h>

namespace azureladder::sidecar {

// Guards against ranges that stay with a node that is evacuated before it may finish their
// takeover: an evacuated node takes over nothing, and other members don't take over ranges of a
// reachable node.
TEST(range_takeover, ranges_are_served_after_their_new_owner_is_evacuated)
{
    sidecar_cluster cluster({1, 3, 5});
    cluster.run_for(seconds(8));
    cluster.kill_node("shelf-1");
    cluster.backend("shelf-1").m_alive = false;
    cluster.run_for(seconds(3));
    cluster.evacuate({"zone-0"});
    cluster.run_for(seconds(20));
    std::vector<std::string> sent;
    for (std::uint32_t key = 0; key < 65536; key += 4096) {
        sent.push_back(cluster.send("orders-0", "shelf", key));
        cluster.run_for(milliseconds(50));
    }
    cluster.run_for(seconds(2));
    for (const auto& id : sent)
        EXPECT_EQ(cluster.status(id), 200) << id;
}

} // namespace azureladder::sidecar
