#include "fake_store.hpp"
#include "step_context.hpp"

#include <azureladder/key_ranges/range_table_json.hpp>
#include <azureladder/sidecar/step.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <vector>

namespace azureladder::sidecar {

namespace {

constexpr duration tick = milliseconds(25);

struct recorded_grant
{
    time_point m_at;
    grant_keys m_grant;
};

/// One node with a store. The node owns all keys, and `m_reply` returns the results of its grants.
struct single_node
{
    time_point m_now{std::chrono::seconds(1000)};
    node_state m_state;
    fake_store m_store;
    std::vector<recorded_grant> m_grants;
    std::vector<release_keys> m_releases;
    std::function<std::optional<key_command_result>(const grant_keys&)> m_reply =
        [](const grant_keys&) { return key_command_result::accepted; };

    explicit single_node(std::size_t ranges = 1)
    {
        node_options options;
        options.m_node = "shelf-0";
        options.m_incarnation = 7;
        options.m_service = "shelf";
        options.m_peer_address = "10.0.0.1:0";
        m_state = make_node(options, m_now, 1);
        auto configuration = std::make_shared<routing::routing_configuration>();
        configuration->m_version = 1;
        configuration->m_services["shelf"].m_name = "shelf";
        configuration->m_services["shelf"].m_is_sharded = true;
        routing::index_routes(*configuration);
        handle_event(configuration_decoded{5, "text", configuration});
        operator_documents documents;
        documents.m_revision = 10;
        handle_event(documents);
        announce("i-1", 1, "10.0.0.1:1");
        write_table first;
        first.m_service = "shelf";
        first.m_text = key_ranges::to_json_text(key_ranges::make_range_table(
            std::vector<key_ranges::range_owner>(ranges, {"shelf-0", local_incarnation_text()})));
        m_store.write(first, m_now);
    }

    static std::string local_incarnation_text() { return "i-1#1@7.0"; }

    void announce(const std::string& id, std::int64_t started_at_ms, const std::string& address)
    {
        m_announced.m_announcement.m_id = id;
        m_announced.m_announcement.m_started_at_ms = started_at_ms;
        m_announced.m_announcement.m_address = address;
        m_announced.m_announcement.m_service = "shelf";
        m_announced.m_announcement.m_slots = 4;
        announce();
    }

    void announce()
    {
        ++m_announced.m_announcement.m_sequence;
        m_next_announcement_at = m_now + milliseconds(870);
        handle_event(m_announced);
    }

    void handle_event(const event& next_event)
    {
        std::vector<event> responses;
        for (const auto& wanted : step(m_state, next_event, m_now)) {
            if (const auto* reading = std::get_if<read_table>(&wanted)) {
                responses.emplace_back(m_store.read(reading->m_service, m_now));
            } else if (const auto* writing = std::get_if<write_table>(&wanted)) {
                responses.emplace_back(m_store.write(*writing, m_now));
            } else if (const auto* granted = std::get_if<grant_keys>(&wanted)) {
                m_grants.push_back({m_now, *granted});
                if (const auto result = m_reply(*granted))
                    responses.emplace_back(key_command_ended{granted->m_command_id, *result, "", "",
                                                             m_backend_replaced});
            } else if (const auto* released = std::get_if<release_keys>(&wanted)) {
                m_releases.push_back(*released);
                responses.emplace_back(key_command_ended{released->m_command_id,
                                                         key_command_result::accepted, "", ""});
            }
        }
        for (const auto& answer : responses)
            handle_event(answer);
    }

    void run_for(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += tick) {
            if (m_now >= m_next_announcement_at && !m_backend_replaced)
                announce();
            handle_event(timer_tick{});
        }
    }

    /// Latest announcement. It is repeated unless another server has replaced its sender.
    backend_announced m_announced;
    time_point m_next_announcement_at;

    /// Responses to grants come from a different server.
    bool m_backend_replaced = false;
};

} // namespace

// Guards against granting a range to a new server while the previous one, which still runs at
// another address, has a lease on it.
TEST(range_leases, server_at_another_address_gets_no_keys_leased_to_the_previous_one)
{
    single_node node;
    node.run_for(seconds(2));
    ASSERT_FALSE(node.m_grants.empty());
    const time_point last = node.m_grants.back().m_at;
    // A server at another address counts once the current one can't be reached.
    node.m_state.m_backend->m_unreachable = true;
    node.m_state.m_backend->m_unreachable_since = node.m_now;
    node.announce("i-2", 2, "10.0.0.1:2");
    node.run_for(seconds(4));
    ASSERT_EQ(node.m_grants.back().m_grant.m_backend_address, "10.0.0.1:2");
    for (const auto& sent : node.m_grants) {
        if (sent.m_grant.m_backend_address != "10.0.0.1:2")
            continue;
        EXPECT_TRUE(!node.m_releases.empty() || sent.m_at - last >= milliseconds(2550))
            << "granted " << to_ms(sent.m_at - last) << " ms after the previous server's grant";
        break;
    }
}

// Guards against sending grants for one server over the connection to another one.
TEST(range_leases, server_at_another_address_gets_a_new_connection)
{
    single_node node;
    node.run_for(seconds(2));
    ASSERT_FALSE(node.m_grants.empty());
    const std::uint64_t previous = node.m_grants.back().m_grant.m_connection;
    // A server at another address counts once the current one can't be reached.
    node.m_state.m_backend->m_unreachable = true;
    node.m_state.m_backend->m_unreachable_since = node.m_now;
    node.announce("i-2", 2, "10.0.0.1:2");
    node.run_for(seconds(4));
    ASSERT_EQ(node.m_grants.back().m_grant.m_backend_address, "10.0.0.1:2");
    EXPECT_NE(node.m_grants.back().m_grant.m_connection, previous);
}

// Guards against leases of many ranges that expire because each grant without a response delays the
// others. Four grants fit into the duration of a lease, and half of them are lost; the bound of a
// tenth allows for the waiting times.
TEST(range_leases, lost_responses_do_not_end_the_leases_of_many_ranges)
{
    single_node node(32);
    node.run_for(seconds(2));
    std::mt19937 random(3);
    node.m_reply = [&](const grant_keys&) -> std::optional<key_command_result> {
        if (random() % 2 == 0)
            return std::nullopt;
        return key_command_result::accepted;
    };
    node.run_for(seconds(3));
    std::size_t checked_count = 0;
    std::size_t unleased_count = 0;
    for (const time_point end = node.m_now + seconds(30); node.m_now < end;) {
        node.run_for(tick);
        for (std::uint32_t key = 0; key < 65536; key += 1024, ++checked_count)
            unleased_count += has_key_lease(node.m_state, key, node.m_now) ? 0 : 1;
    }
    EXPECT_LT(unleased_count, checked_count / 10);
}

// Guards against keys that stay unserved because a restarted server appears older than its previous
// incarnation after a step of the VM's clock: all its announcements would be ignored.
TEST(range_leases, refusal_by_another_server_validates_its_announcement)
{
    single_node node;
    node.run_for(seconds(2));
    node.m_backend_replaced = true;
    node.m_reply = [](const grant_keys&) { return key_command_result::refused; };
    node.run_for(seconds(1));
    node.m_backend_replaced = false;
    node.m_reply = [](const grant_keys&) { return key_command_result::accepted; };
    node.announce("i-2", 0, "10.0.0.1:1");
    node.run_for(seconds(1));
    EXPECT_TRUE(has_key_lease(node.m_state, 0, node.m_now));
}

// Guards against a lower fencing token when the connection number wraps around.
TEST(range_leases, tokens_increase_when_the_connection_number_wraps_around)
{
    single_node node;
    node.run_for(seconds(2));
    ASSERT_FALSE(node.m_grants.empty());
    node.m_state.m_ownership.m_connection.m_number = 65534;
    node.m_reply = [](const grant_keys&) { return std::nullopt; };
    node.run_for(seconds(5));
    std::uint64_t highest = 0;
    for (const auto& sent : node.m_grants) {
        if (sent.m_grant.m_connection >= 65534) {
            EXPECT_GE(sent.m_grant.m_token, highest) << sent.m_grant.m_connection;
        }
        highest = std::max(highest, sent.m_grant.m_token);
    }
}

} // namespace azureladder::sidecar
