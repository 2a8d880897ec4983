#pragma once

#include "raw_socket.hpp"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace azureladder::http {

/// TCP server that runs a function for each connection on a separate thread. The function receives
/// the number of the connection (from 1) and controls every byte that the client receives.
class scripted_server
{
public:
    using script = std::function<void(raw_socket&, int)>;

    explicit scripted_server(script run) : m_script(std::move(run))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = raw_socket::to_sockaddr({"127.0.0.1", 0});
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t length = sizeof(address);
        const bool listening = ::bind(m_listener, generic, length) == 0 &&
                               ::listen(m_listener, 16) == 0 &&
                               ::getsockname(m_listener, generic, &length) == 0;
        m_port = listening ? ntohs(address.sin_port) : std::uint16_t(0);
        m_acceptor = std::thread([this] { accept_all(); });
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    ~scripted_server()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        for (auto& thread : m_connection_threads)
            thread.join();
        ::close(m_listener);
    }

    endpoint address() const { return {"127.0.0.1", m_port}; }

    int connection_count() const { return m_connection_count; }

private:
    void accept_all()
    {
        for (;;) {
            const int accepted = ::accept(m_listener, nullptr, nullptr);
            if (accepted < 0)
                return;
            const int number = ++m_connection_count;
            m_connection_threads.emplace_back([this, accepted, number] {
                raw_socket socket(accepted);
                m_script(socket, number);
            });
        }
    }

    script m_script;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_connection_count{0};
    std::thread m_acceptor;
    std::vector<std::thread> m_connection_threads;
};

} // namespace azureladder::http
