#pragma once

#include <azureladder/base/endpoint.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>
#include <utility>

namespace azureladder::http {

/// Blocking TCP socket for tests that need control over single bytes.
class raw_socket
{
public:
    explicit raw_socket(int descriptor) : m_descriptor(descriptor) { set_timeout(); }

    explicit raw_socket(const endpoint& server)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        set_timeout();
        const auto address = to_sockaddr(server);
        const auto* generic = reinterpret_cast<const sockaddr*>(&address);
        if (::connect(m_descriptor, generic, sizeof(address)) != 0)
            close();
    }

    raw_socket(raw_socket&& other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)) {}
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    ~raw_socket() { close(); }

    static sockaddr_in to_sockaddr(const endpoint& server)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.m_port);
        ::inet_pton(AF_INET, server.m_host.c_str(), &address.sin_addr);
        return address;
    }

    void send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            bytes.remove_prefix(std::size_t(sent));
        }
    }

    /// Reads until the text contains `delimiter`, the peer closes or the receive timeout passes.
    std::string receive_until(std::string_view delimiter) const
    {
        std::string text;
        char block[4'096];
        std::size_t searched = 0;
        while (delimiter.empty() || text.find(delimiter, searched) == std::string::npos) {
            searched = text.size() > delimiter.size() ? text.size() - delimiter.size() : 0;
            const auto received = ::recv(m_descriptor, block, sizeof(block), 0);
            if (received <= 0)
                return received == 0 ? text + "<closed>" : text + "<error>";
            text.append(block, std::size_t(received));
        }
        return text;
    }

    /// Reads until the peer closes the connection. The text ends with "<closed>" after an orderly
    /// close and with "<error>" otherwise.
    std::string receive_all() const { return receive_until({}); }

    void shutdown_sending() const { ::shutdown(m_descriptor, SHUT_WR); }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }

    int descriptor() const { return m_descriptor; }

private:
    // Makes a test fail that would otherwise hang.
    void set_timeout() const
    {
        const timeval guard{20, 0};
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &guard, sizeof(guard));
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    int m_descriptor;
};

} // namespace azureladder::http
