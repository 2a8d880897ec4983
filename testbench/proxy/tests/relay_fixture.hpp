#pragma once

#include "fault_proxy.hpp"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azureladder::proxy {

using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;

/// Reads all data from a TCP socket and optionally echoes it.
struct tcp_peer : std::enable_shared_from_this<tcp_peer>
{
    explicit tcp_peer(tcp::socket socket, bool echoes = false)
        : m_socket(std::move(socket)), m_echoes(echoes)
    {
    }

    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [self = shared_from_this()](auto error, std::size_t size) {
                                     if (error) {
                                         self->m_end = error;
                                         return;
                                     }
                                     self->m_received.append(self->m_buffer.data(), size);
                                     if (self->m_echoes)
                                         self->send(std::string(self->m_buffer.data(), size));
                                     self->read();
                                 });
    }

    void send(const std::string& data) { boost::asio::write(m_socket, boost::asio::buffer(data)); }

    tcp::socket m_socket;
    bool m_echoes;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    boost::system::error_code m_end;
};

/// Proxy with one link "west->east" to an echo server for TCP and UDP.
class relay_fixture : public testing::Test
{
protected:
    relay_fixture()
        : m_tcp_server(m_context, {boost::asio::ip::address_v4::loopback(), 0}),
          m_udp_server(m_context, {boost::asio::ip::address_v4::loopback(),
                                   m_tcp_server.local_endpoint().port()}),
          m_udp_client(m_context, {boost::asio::ip::address_v4::loopback(), 0})
    {
        link_settings link;
        link.m_name = "west->east";
        link.m_protocol = link_protocol::both;
        link.m_listen = {"127.0.0.1", 0};
        link.m_target = {"127.0.0.1", m_tcp_server.local_endpoint().port()};
        proxy_settings settings;
        settings.m_links = {link};
        m_proxy = std::make_unique<fault_proxy>(m_context, settings);
        m_address = *parse_endpoint(m_proxy->addresses().at(link.m_name).get<std::string>());
        accept();
        echo_datagrams();
        receive_datagrams();
    }

    /// Runs the event loop until the condition holds; fails the test after a generous limit.
    void run_until(const std::function<bool()>& condition)
    {
        constexpr int max_steps = 2000;
        for (int i = 0; i < max_steps && !condition(); ++i)
            m_context.run_one_for(std::chrono::milliseconds(5));
        EXPECT_TRUE(condition());
    }

    /// Runs the event loop long enough for a relayed byte to arrive if the link lets it through.
    void run_briefly() { m_context.run_for(std::chrono::milliseconds(60)); }

    std::shared_ptr<tcp_peer> connect()
    {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        socket.connect({boost::asio::ip::make_address(m_address.m_host), m_address.m_port}, error);
        auto peer = std::make_shared<tcp_peer>(std::move(socket));
        peer->m_end = error;
        if (!error)
            peer->read();
        return peer;
    }

    void set(const std::string& faults, const std::string& direction = "both")
    {
        const auto reply = m_proxy->execute({{"command", "set"},
                                             {"link", "west->*"},
                                             {"direction", direction},
                                             {"faults", json::parse(faults)}});
        EXPECT_EQ(reply.at("ok"), true) << reply;
    }

    void clear() { m_proxy->execute({{"command", "clear"}, {"link", "*"}}); }

    void refuse() { m_proxy->execute({{"command", "set"}, {"link", "*"}, {"refuse", true}}); }

    json direction(const std::string& name)
    {
        return m_proxy->execute({{"command", "status"}}).at("links")[0].at(name);
    }

    void send_datagram(const std::string& data)
    {
        m_udp_client.send_to(
            boost::asio::buffer(data),
            udp::endpoint(boost::asio::ip::make_address(m_address.m_host), m_address.m_port));
    }

    boost::asio::io_context m_context{1};
    tcp::acceptor m_tcp_server;
    udp::socket m_udp_server;
    udp::socket m_udp_client;
    std::vector<std::shared_ptr<tcp_peer>> m_echoes;
    std::vector<std::string> m_echoed_datagrams;
    std::unique_ptr<fault_proxy> m_proxy;
    endpoint m_address;

private:
    void accept()
    {
        m_tcp_server.async_accept([this](auto error, tcp::socket socket) {
            if (error)
                return;
            m_echoes.push_back(std::make_shared<tcp_peer>(std::move(socket), true));
            m_echoes.back()->read();
            accept();
        });
    }

    void echo_datagrams()
    {
        m_udp_server.async_receive_from(
            boost::asio::buffer(m_server_buffer), m_sender, [this](auto error, std::size_t size) {
                if (error)
                    return;
                m_udp_server.send_to(boost::asio::buffer(m_server_buffer, size), m_sender);
                echo_datagrams();
            });
    }

    void receive_datagrams()
    {
        m_udp_client.async_receive(
            boost::asio::buffer(m_client_buffer), [this](auto error, std::size_t size) {
                if (error)
                    return;
                m_echoed_datagrams.emplace_back(m_client_buffer.data(), size);
                receive_datagrams();
            });
    }

    udp::endpoint m_sender;
    std::array<char, 2048> m_server_buffer{};
    std::array<char, 2048> m_client_buffer{};
};

} // namespace azureladder::proxy
