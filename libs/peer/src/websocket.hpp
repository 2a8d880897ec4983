#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include <cstddef>
#include <string>

/// Configuration of websocketpp: one thread, no logging, small buffers, short timeouts.
namespace azureladder::peer {

struct websocket_config : websocketpp::config::asio_client
{
    using type = websocket_config;
    using concurrency_type = websocketpp::concurrency::none;
    using request_type = websocketpp::config::asio_client::request_type;
    using response_type = websocketpp::config::asio_client::response_type;
    using message_type = websocketpp::config::asio_client::message_type;
    using con_msg_manager_type = websocketpp::config::asio_client::con_msg_manager_type;
    using endpoint_msg_manager_type = websocketpp::config::asio_client::endpoint_msg_manager_type;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<uint32_t, concurrency_type>;

    static constexpr bool enable_multithreading = false;

    struct transport_config : websocketpp::config::asio_client::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;

        static constexpr bool enable_multithreading = false;

        /// Milliseconds. Bounds the time for which an abandoned connection attempt holds memory.
        static constexpr long timeout_connect = 1'000;
        static constexpr long timeout_socket_shutdown = 1'000;
    };

    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    /// Milliseconds.
    static constexpr long timeout_open_handshake = 1'000;
    static constexpr long timeout_close_handshake = 1'000;

    /// No timer for pongs: the link has its own peer timeout.
    static constexpr long timeout_pong = 0;

    /// A node of a cluster with 1,100 nodes can have 2,200 connections, so each buffer is small.
    static constexpr std::size_t connection_read_buffer_size = 2'048;

    /// Only the opening handshake uses HTTP, and it has no body.
    static constexpr std::size_t max_http_body_size = 1'024;
};

using websocket_client = websocketpp::client<websocket_config>;
using websocket_server = websocketpp::server<websocket_config>;
using client_connection = websocket_client::connection_ptr;
using server_connection = websocket_server::connection_ptr;

} // namespace azureladder::peer
