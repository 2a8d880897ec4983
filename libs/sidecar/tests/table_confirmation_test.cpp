#include <azureladder/key_ranges/range_table_json.hpp>
#include <azureladder/sidecar/step.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace azureladder::sidecar {

namespace {

constexpr std::uint64_t link_to_b = 1;
constexpr std::uint64_t initial_revision = 5;
const std::string document = "keys/shelf";

/// Node "a" beside a server of the sharded service "shelf", connected to node "b".
class table_confirmation : public testing::Test
{
protected:
    table_confirmation() : m_state(make_node(options_of_a(), m_now, 1))
    {
        auto configuration = std::make_shared<routing::routing_configuration>();
        configuration->m_services["shelf"].m_name = "shelf";
        configuration->m_services["shelf"].m_is_sharded = true;
        handle_event(configuration_decoded{5, "text", configuration});
        backend_announcement announced;
        announced.m_id = "i-a";
        announced.m_service = "shelf";
        announced.m_address = "a:1";
        announced.m_slots = 4;
        announced.m_sequence = 1;
        handle_event(backend_announced{announced});
        handle_event(nodes_listed{{{"b", "b:0"}}});
        tick();
        handle_event(link_opened{link_to_b, "b"});
        hello_frame hello;
        hello.m_node = "b";
        hello.m_incarnation = 7;
        hello.m_address = "b:0";
        receive(hello);
        answer_ping(0);
        table_read read;
        read.m_service = "shelf";
        read.m_succeeded = true;
        read.m_revision = initial_revision;
        read.m_text = text_of_table();
        read.m_sent_at = m_now;
        handle_event(read);
    }

    static node_options options_of_a()
    {
        node_options options;
        options.m_node = "a";
        options.m_service = "shelf";
        options.m_peer_address = "a:0";
        return options;
    }

    /// A table in which node "b" owns all keys, so that node "a" sends no grants.
    static std::string text_of_table()
    {
        return key_ranges::to_json_text(key_ranges::make_range_table({{"b", "i-b#1"}}));
    }

    void handle_event(const event& next_event)
    {
        for (const effect& done : step(m_state, next_event, m_now)) {
            const auto* sent = std::get_if<send_frame>(&done);
            if (sent == nullptr)
                continue;
            if (const auto* ping = std::get_if<ping_frame>(&sent->m_frame)) {
                m_ping = ping->m_sequence;
                m_ping_sent_at = m_now;
            }
            if (std::holds_alternative<document_request_frame>(sent->m_frame))
                m_requests.push_back(m_now);
        }
    }

    void receive(peer_frame frame) { handle_event(frame_received{link_to_b, std::move(frame)}); }

    void tick()
    {
        m_now += milliseconds(25);
        handle_event(timer_tick{});
    }

    /// Advances the time until the node sends the next ping.
    void run_until_ping()
    {
        const std::uint64_t previous = m_ping;
        while (m_ping == previous)
            tick();
    }

    void answer_ping(std::uint64_t revision, duration age = {})
    {
        status_frame status;
        status.m_sequence = m_ping;
        status.m_status.m_service = "shelf";
        if (revision != 0) {
            status.m_documents[document] = revision;
            status.m_confirmation_age_us[document] = age.count();
        }
        receive(status);
    }

    time_point confirmed_at() const { return m_state.m_tables.at("shelf").m_confirmed_at; }

    time_point m_now{seconds(1000)};
    node_state m_state;
    std::uint64_t m_ping = 0;
    time_point m_ping_sent_at;
    std::vector<time_point> m_requests;
};

} // namespace

// Guards against a confirmation time that is too late by a pause of the process before it reads the
// response to its ping: the leases would be renewed after other nodes have taken over the ranges.
TEST_F(table_confirmation, response_read_after_a_pause_confirms_from_the_ping_time)
{
    run_until_ping();
    const std::uint64_t sequence = m_ping;
    const time_point ping_sent = m_ping_sent_at;
    m_now += seconds(5);
    tick();
    m_ping = sequence;
    answer_ping(initial_revision);
    EXPECT_LE(confirmed_at(), ping_sent);
}

// Guards against attributing the response to the first request for a table to a later request,
// which makes the confirmation time too late.
TEST_F(table_confirmation, late_document_confirms_from_the_time_of_the_first_request)
{
    status_frame status;
    status.m_documents[document] = initial_revision + 1;
    receive(status);
    while (m_requests.size() < 2)
        tick();
    document_frame response{document, initial_revision + 1, text_of_table(), 0};
    receive(response);
    EXPECT_EQ(m_state.m_tables.at("shelf").m_revision, initial_revision + 1);
    EXPECT_LE(confirmed_at(), m_requests.front());
}

} // namespace azureladder::sidecar
