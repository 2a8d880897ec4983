#include "connected_node.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Newest revision of the configuration in the statuses that a step sends without a ping.
std::uint64_t broadcast_revision(const effects& done)
{
    std::uint64_t newest = 0;
    for (const auto& effect : done) {
        const auto* sent = std::get_if<send_frame>(&effect);
        const auto* status = sent == nullptr ? nullptr : std::get_if<status_frame>(&sent->m_frame);
        if (status == nullptr || status->m_sequence != 0)
            continue;
        const auto found = status->m_documents.find("configuration");
        if (found != status->m_documents.end())
            newest = std::max(newest, found->second);
    }
    return newest;
}

} // namespace

// Guards against peers that learn of a configuration with their next ping only, after the responses
// to the watches of all nodes were lost.
TEST(missed_configuration, is_announced_to_all_peers_at_once)
{
    node_state state = make_connected_node({"a", "b"});
    step(state, link_opened{9, ""}, start_time);
    step(state, frame_received{9, hello_frame{"c", 1, "c:0", "", {}, {}}}, start_time);
    operator_documents missed;
    missed.m_revision = missed.m_configuration_revision = 8;
    missed.m_configuration_text = "new";
    missed.m_missed_by_watch = true;
    step(state, missed, start_time);
    const auto configuration = std::make_shared<routing::routing_configuration>();
    configuration->m_version = 2;
    EXPECT_EQ(
        broadcast_revision(step(state, configuration_decoded{8, "new", configuration}, start_time)),
        configuration->m_version + 1);
}

// Guards against turns that two of the connected nodes take, or none.
TEST(check_turn, is_the_rank_among_the_connected_nodes)
{
    node_state state = make_connected_node({"a", "z"});
    EXPECT_EQ(check_turn_of(state).m_members, 3U);
    EXPECT_EQ(check_turn_of(state).m_rank, 1U);
    step(state, link_closed{1}, start_time);
    EXPECT_EQ(check_turn_of(state).m_members, 2U);
    EXPECT_EQ(check_turn_of(state).m_rank, 0U);
}

} // namespace azureladder::sidecar
