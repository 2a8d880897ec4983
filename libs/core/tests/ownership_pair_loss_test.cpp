#include "cluster_scenarios.hpp"

namespace azureladder::core::testing {

// Guards against slices that permanently lose their owner when two witnesses of a node are lost at
// the same time: the node can then neither renew its lease nor be fenced.
TEST(ownership_pair_loss, every_slice_is_served_again)
{
    cluster_harness cluster(9);
    cluster.apply(json::array({divided_service("orders", 12)}));
    for (const std::string zone : {"a", "b", "c"}) {
        for (const std::string number : {"1", "2", "3"})
            cluster.add_node(zone + number, "zone-" + zone, "orders");
    }
    cluster.start_all();
    cluster.run_for(seconds(90));
    ASSERT_TRUE(cluster.all_served()) << cluster.describe_unserved_slices();
    const auto names = cluster.names();
    for (std::size_t first = 0; first < names.size(); ++first) {
        for (std::size_t second = first + 1; second < names.size(); ++second) {
            auto copy = cluster;
            copy.kill(names[first]);
            copy.kill(names[second]);
            EXPECT_TRUE(all_served_within(copy, seconds(60)))
                << names[first] << " and " << names[second] << copy.describe_unserved_slices();
            expect_no_violations(copy);
        }
    }
}

} // namespace azureladder::core::testing
