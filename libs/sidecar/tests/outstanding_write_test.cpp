#include <azureladder/key_ranges/range_table_json.hpp>
#include <azureladder/sidecar/step.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace azureladder::sidecar {

namespace {

/// Node "a" beside a server of the sharded service "shelf", connected to its peer "b".
struct outstanding_write : testing::Test
{
    time_point m_now{seconds(1000)};
    node_state m_state;
    effects m_done;
    std::int64_t m_sequence = 0;
    std::uint64_t m_evacuations = 10;

    outstanding_write() : m_state(make_node(options_of_a(), m_now, 1))
    {
        auto configuration = std::make_shared<routing::routing_configuration>();
        configuration->m_services["shelf"].m_name = "shelf";
        configuration->m_services["shelf"].m_is_sharded = true;
        handle_event(configuration_decoded{5, "text", configuration});
        announce();
        handle_event(nodes_listed{{{"b", "b:0"}}});
        tick();
        handle_event(link_opened{1, "b"});
        hello_frame hello;
        hello.m_node = "b";
        hello.m_incarnation = 7;
        hello.m_address = "b:0";
        handle_event(frame_received{1, hello});
        answer_pings();
    }

    static node_options options_of_a()
    {
        node_options options;
        options.m_node = "a";
        options.m_service = "shelf";
        options.m_zone = "zone-a";
        options.m_peer_address = "a:0";
        return options;
    }

    void announce()
    {
        backend_announcement announced;
        announced.m_id = "i-a";
        announced.m_service = "shelf";
        announced.m_address = "a:1";
        announced.m_slots = 4;
        announced.m_sequence = ++m_sequence;
        handle_event(backend_announced{announced});
    }

    void evacuate(std::set<std::string> zones)
    {
        operator_documents documents;
        documents.m_revision = ++m_evacuations;
        documents.m_evacuated_zones = std::move(zones);
        handle_event(documents);
    }

    void handle_event(const event& next_event)
    {
        for (effect& done : step(m_state, next_event, m_now))
            m_done.push_back(std::move(done));
    }

    void answer_pings()
    {
        const effects done = m_done;
        for (const auto& sent : all<send_frame>(done)) {
            const auto* ping = std::get_if<ping_frame>(&sent.m_frame);
            if (ping == nullptr)
                continue;
            status_frame status;
            status.m_sequence = ping->m_sequence;
            status.m_status.m_service = "shelf";
            status.m_status.m_server_incarnation = "i-b#1";
            status.m_status.m_report.m_open = true;
            handle_event(frame_received{1, status});
        }
    }

    template <typename Effect>
    static std::vector<Effect> all(const effects& done)
    {
        std::vector<Effect> result;
        for (const auto& each : done) {
            if (const auto* wanted = std::get_if<Effect>(&each))
                result.push_back(*wanted);
        }
        return result;
    }

    /// Advances the time, acknowledges key commands, answers reads of the table, and returns all
    /// effects.
    effects tick(std::uint64_t revision = 0, const std::string& text = {})
    {
        m_now += milliseconds(25);
        m_done.clear();
        handle_event(timer_tick{});
        answer_pings();
        const effects done = m_done;
        for (const auto& command : all<grant_keys>(done))
            handle_event(accepted(command.m_command_id));
        for (const auto& command : all<release_keys>(done))
            handle_event(accepted(command.m_command_id));
        if (!all<read_table>(done).empty())
            handle_event(read(revision, text));
        return m_done;
    }

    static key_command_ended accepted(std::uint64_t command)
    {
        key_command_ended ended;
        ended.m_command_id = command;
        ended.m_result = key_command_result::accepted;
        return ended;
    }

    table_read read(std::uint64_t revision, const std::string& text) const
    {
        table_read result;
        result.m_service = "shelf";
        result.m_succeeded = true;
        result.m_revision = revision;
        result.m_text = text;
        result.m_sent_at = m_now;
        return result;
    }
};

} // namespace

// Guards against granting keys whose transfer the store may still apply. A response from another
// server incarnation removed the transfer, and a late announcement then restored the previous
// incarnation.
TEST_F(outstanding_write,
       keys_of_an_outstanding_transfer_are_not_granted_after_the_server_was_replaced)
{
    constexpr std::uint64_t revision = 5;
    const std::string text = key_ranges::to_json_text(
        key_ranges::make_range_table({{"a", status_of(m_state, m_now).m_server_incarnation}}));
    handle_event(read(revision, text));
    while (m_state.m_ownership.m_leases.empty() ||
           m_state.m_ownership.m_leases.begin()->second.m_granted_at == time_point{})
        tick(revision, text);
    // A running execution.
    forwarded_request request;
    request.m_request_id = "request-1";
    request.m_service = "shelf";
    request.m_key = 7;
    request_frame sent;
    sent.m_id = 1;
    sent.m_request = std::make_shared<forwarded_request>(request);
    sent.m_remaining_us = 2000000;
    sent.m_target_us = 1000000;
    m_done.clear();
    handle_event(frame_received{1, sent});
    const auto started = all<start_execution>(m_done);
    ASSERT_EQ(started.size(), 1U);

    evacuate({"zone-a"});
    std::vector<write_table> writes;
    for (int i = 0; i < 100 && writes.empty(); ++i)
        writes = all<write_table>(tick(revision, text));
    ASSERT_EQ(writes.size(), 1U);
    evacuate({});
    execution_ended ended;
    ended.m_execution = started.front().m_execution;
    ended.m_result = execution_result::rejected;
    ended.m_backend_replaced = true;
    handle_event(ended);
    announce();
    for (int i = 0; i < 20; ++i) {
        const effects done = tick(revision, text);
        ASSERT_TRUE(all<grant_keys>(done).empty())
            << "the write with revision " << writes.front().m_expected_revision
            << " may still be applied";
    }
}

} // namespace azureladder::sidecar
