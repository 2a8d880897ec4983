#include "peer_link.hpp"

#include <azureladder/base/steady_clock.hpp>
#include <azureladder/sidecar/peer_frame_codec.hpp>

#include <gtest/gtest.h>

namespace azureladder::sidecar_runtime {

namespace {

/// Two links over one connection. The receiving one does not read before start_receiver().
struct link_pair
{
    asio::io_context m_io;
    steady_clock m_clock;
    bulk_pacer m_pacer;
    std::vector<peer_link::sent_frame> m_sent;
    peer_link::callbacks m_sender_callbacks;
    peer_link::callbacks m_receiver_callbacks;
    std::vector<sidecar::peer_frame> m_received;
    std::shared_ptr<peer_link> m_sender;
    std::shared_ptr<peer_link> m_receiver;

    link_pair()
    {
        tcp::acceptor acceptor(m_io, {asio::ip::make_address("127.0.0.1"), 0});
        // Small, so that large frames stay in the send buffer.
        acceptor.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
        tcp::socket client(m_io);
        client.connect(acceptor.local_endpoint());
        m_sender_callbacks.m_on_frame = [](std::uint64_t, const sidecar::peer_frame&) {};
        m_sender_callbacks.m_on_closed = [](std::uint64_t) {};
        m_receiver_callbacks.m_on_frame = [this](std::uint64_t, sidecar::peer_frame frame) {
            m_received.push_back(std::move(frame));
        };
        m_receiver_callbacks.m_on_closed = [](std::uint64_t) {};
        m_sender_callbacks.m_on_sent = [this](std::uint64_t, const peer_link::sent_frame& frame) {
            m_sent.push_back(frame);
        };
        m_sender_callbacks.m_on_held_back = [](std::uint64_t) {};
        m_receiver_callbacks.m_on_held_back = [](std::uint64_t) {};
        m_receiver_callbacks.m_on_sent = [](std::uint64_t, const peer_link::sent_frame&) {};
        m_sender =
            std::make_shared<peer_link>(std::move(client), 1, m_clock, m_pacer, m_sender_callbacks);
        m_receiver = std::make_shared<peer_link>(acceptor.accept(), 2, m_clock, m_pacer,
                                                 m_receiver_callbacks);
        m_sender->start();
    }

    ~link_pair()
    {
        m_sender->close();
        m_receiver->close();
        run();
    }

    void run() { m_io.run_for(std::chrono::milliseconds(200)); }

    /// Positions of the frames of one kind among the received ones.
    template <class Frame>
    std::vector<std::size_t> received_order() const
    {
        std::vector<std::size_t> positions;
        for (std::size_t i = 0; i < m_received.size(); ++i) {
            if (std::holds_alternative<Frame>(m_received[i]))
                positions.push_back(i);
        }
        return positions;
    }

    template <class Frame>
    std::size_t received_count() const
    {
        std::size_t count = 0;
        for (const auto& frame : m_received)
            count += std::holds_alternative<Frame>(frame) ? 1 : 0;
        return count;
    }
};

sidecar::request_frame make_request(std::uint64_t id)
{
    sidecar::request_frame frame;
    frame.m_id = id;
    frame.m_request = std::make_shared<sidecar::forwarded_request>();
    return frame;
}

/// More bytes than the socket buffers of a connection hold.
sidecar::document_frame make_large_document()
{
    sidecar::document_frame frame;
    frame.m_name = "configuration";
    frame.m_text = std::string(16U * 1024 * 1024, 'x');
    return frame;
}

} // namespace

TEST(peer_link, delivers_the_frames_of_a_stream_in_order)
{
    link_pair links;
    sidecar::document_frame second_document;
    second_document.m_name = "second";
    links.m_sender->send(make_large_document());
    links.m_sender->send(second_document);
    links.m_sender->send(make_request(1));
    links.m_sender->send(sidecar::ping_frame{1});
    links.m_sender->send(sidecar::cancel_frame{2});
    links.m_sender->send(make_request(3));
    links.m_receiver->start();
    links.run();
    ASSERT_EQ(links.m_received.size(), 6U);
    EXPECT_EQ(links.received_order<sidecar::document_frame>(), (std::vector<std::size_t>{4, 5}));
    EXPECT_EQ(std::get<sidecar::document_frame>(links.m_received[5]).m_name, "second");
    EXPECT_LT(links.received_order<sidecar::ping_frame>()[0],
              links.received_order<sidecar::cancel_frame>()[0]);
    const auto requests = links.received_order<sidecar::request_frame>();
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(std::get<sidecar::request_frame>(links.m_received[requests[0]]).m_id, 1U);
    EXPECT_EQ(std::get<sidecar::request_frame>(links.m_received[requests[1]]).m_id, 3U);
}

// Guards against sending a request whose caller disconnected while the request was queued for a
// slow connection.
TEST(peer_link, queued_request_is_dropped_when_it_is_cancelled)
{
    link_pair links;
    links.m_sender->send(make_large_document());
    links.run();
    links.m_sender->send(make_request(1));
    links.m_sender->send(make_request(2));
    links.m_sender->send(sidecar::cancel_frame{1});
    links.m_receiver->start();
    links.run();
    ASSERT_EQ(links.received_count<sidecar::request_frame>(), 1U);
    EXPECT_EQ(links.received_count<sidecar::cancel_frame>(), 0U);
    const auto requests = links.received_order<sidecar::request_frame>();
    EXPECT_EQ(std::get<sidecar::request_frame>(links.m_received[requests[0]]).m_id, 2U);
}

// Guards against the transfer of a body whose caller has disconnected, and against a cancel that is
// dropped with the body although the peer has the request.
TEST(peer_link, queued_body_is_dropped_when_its_request_is_cancelled)
{
    link_pair links;
    links.m_sender->send(make_large_document());
    links.run();
    const auto body = std::make_shared<std::string>(60'000, 'b');
    links.m_sender->send(sidecar::body_frame{1, body});
    links.m_sender->send(sidecar::body_frame{2, body});
    links.m_sender->send(sidecar::cancel_frame{1});
    links.m_receiver->start();
    links.run();
    ASSERT_EQ(links.received_count<sidecar::body_frame>(), 1U);
    EXPECT_EQ(links.received_count<sidecar::cancel_frame>(), 1U);
    const auto position = links.received_order<sidecar::body_frame>()[0];
    EXPECT_EQ(std::get<sidecar::body_frame>(links.m_received[position]).m_id, 2U);
}

// Guards against starting a request although its cancel has arrived behind it.
TEST(peer_link, frames_that_have_arrived_are_read_in_one_pass)
{
    link_pair links;
    sidecar::request_frame large = make_request(1);
    auto request = std::make_shared<sidecar::forwarded_request>();
    request->m_body = std::string(24 * 1024, 'x');
    large.m_request = request;
    links.m_sender->send(large);
    links.run();
    links.m_sender->send(sidecar::cancel_frame{1});
    links.run();
    links.m_receiver->start();
    links.m_io.restart();
    links.m_io.run_one();
    EXPECT_EQ(links.received_count<sidecar::request_frame>(), 1U);
    EXPECT_EQ(links.received_count<sidecar::cancel_frame>(), 1U);
}

// Guards against delays in the send queue that no metric or log line shows.
TEST(peer_link, reports_the_time_that_frames_wait_in_the_send_queue)
{
    link_pair links;
    links.m_sender->send(make_large_document());
    links.run();
    links.m_sender->send(sidecar::ping_frame{1});
    links.run();
    EXPECT_TRUE(links.m_sent.empty());
    links.m_receiver->start();
    links.run();
    ASSERT_EQ(links.m_sent.size(), 2U);
    for (const auto& sent : links.m_sent) {
        EXPECT_GE(sent.m_waited, milliseconds(150));
        EXPECT_GT(sent.m_bytes, 0U);
    }
    EXPECT_EQ(sidecar::frame_kind_names[links.m_sent[0].m_kind], "ping");
    EXPECT_EQ(sidecar::frame_kind_names[links.m_sent[1].m_kind], "document");
}

// Guards against a planned stop that loses the last responses of a node in its send queues.
TEST(peer_link, frames_queued_before_the_end_of_sending_are_delivered)
{
    link_pair links;
    links.m_sender->send(make_large_document());
    links.m_sender->send(make_request(1));
    links.run();
    EXPECT_TRUE(links.m_sender->has_unsent_frames());
    links.m_receiver->start();
    for (int i = 0; i < 20 && links.m_sender->has_unsent_frames(); ++i)
        links.run();
    EXPECT_FALSE(links.m_sender->has_unsent_frames());
    links.m_sender->finish();
    links.run();
    EXPECT_EQ(links.received_count<sidecar::document_frame>(), 1U);
    EXPECT_EQ(links.received_count<sidecar::request_frame>(), 1U);
}

// Guards against a request that is delivered long after its connection was given up, when a cut
// between the two nodes ends.
TEST(peer_link, unsent_request_is_discarded_when_the_connection_is_closed)
{
    link_pair links;
    sidecar::document_frame document;
    document.m_text = std::string(1024 * 1024, 'x');
    links.m_sender->send(document);
    links.run();
    links.m_sender->send(make_request(1));
    links.run();
    links.m_sender->close();
    links.m_receiver->start();
    links.run();
    EXPECT_EQ(links.received_count<sidecar::request_frame>(), 0U);
}

} // namespace azureladder::sidecar_runtime
