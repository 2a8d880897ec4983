#include <azureladder/http/server.hpp>

#include "server_state.hpp"
#include "strict_responder.hpp"

#include <azureladder/base/precondition.hpp>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/server.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/regex.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <thread>

namespace azureladder::http {

namespace {

// Another process can bind the free port between the search and the bind of the server.
constexpr int free_port_attempts = 16;

/// Returns a port that is currently free on `host`, or 0. cxxtools cannot report the port that the
/// kernel selects for port 0, so the server selects one before it listens.
std::uint16_t find_free_port(const std::string& host)
{
    const bool is_v6 = host.find(':') != std::string::npos;
    sockaddr_storage address{};
    socklen_t length = is_v6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address);
    address.ss_family = is_v6 ? AF_INET6 : AF_INET;
    void* target = is_v6 ? static_cast<void*>(&v6->sin6_addr) : static_cast<void*>(&v4->sin_addr);
    if (::inet_pton(address.ss_family, host.c_str(), target) != 1)
        return 0;
    const int descriptor = ::socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return 0;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const bool bound = ::bind(descriptor, generic, length) == 0 &&
                       ::getsockname(descriptor, generic, &length) == 0;
    ::close(descriptor);
    return bound ? ntohs(is_v6 ? v6->sin6_port : v4->sin_port) : std::uint16_t(0);
}

/// Raises the backlog of the listening socket on `port`. cxxtools fixes it at 64, with which a
/// burst of 150 connections lost handshakes and waited 1 s for the retransmission. cxxtools does
/// not expose the descriptor of the socket, so this searches the descriptors of the process; a
/// second listen() changes only the backlog.
void raise_accept_backlog(std::uint16_t port)
{
    constexpr int accept_backlog = 1'024;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", error)) {
        const int descriptor = std::atoi(entry.path().filename().c_str());
        int listening = 0;
        socklen_t length = sizeof(listening);
        sockaddr_in6 address{};
        socklen_t address_length = sizeof(address);
        if (::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) != 0 ||
            listening == 0 ||
            ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &address_length) != 0)
            continue;
        // sockaddr_in and sockaddr_in6 hold the port at the same offset.
        if (ntohs(address.sin6_port) == port)
            ::listen(descriptor, accept_backlog);
    }
}

} // namespace

class server::impl
{
public:
    impl(server_options options, handler handle)
        : m_state(std::move(options), std::move(handle)),
          m_bound_address(m_state.m_options.m_listen_address), m_service(m_state)
    {
    }

    ~impl() { stop(); }

    bool start()
    {
        AZURELADDER_PRECONDITION(!m_thread.joinable(), "a server must be started only once");
        // Writing to a connection that the caller closed must not terminate the process.
        std::signal(SIGPIPE, SIG_IGN);
        m_server = std::make_unique<cxxtools::http::Server>(m_loop);
        configure();
        if (!listen())
            return false;
        m_thread = std::thread([this] { m_loop.run(); });
        return true;
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_state.drain();
        m_loop.exit();
        m_thread.join();
        m_server.reset();
    }

    server_state m_state;
    endpoint m_bound_address;

private:
    void configure()
    {
        const auto& options = m_state.m_options;
        m_server->minThreads(options.m_min_threads);
        m_server->maxThreads(options.m_max_threads);
        m_server->keepAliveTimeout(cxxtools::Milliseconds(double(options.m_idle_timeout.count())));
        m_server->readTimeout(cxxtools::Milliseconds(double(options.m_read_timeout.count())));
        m_server->addService(cxxtools::Regex(".*"), m_service);
    }

    bool listen()
    {
        const bool any_port = m_bound_address.m_port == 0;
        for (int attempt = 0; attempt < (any_port ? free_port_attempts : 1); ++attempt) {
            if (any_port)
                m_bound_address.m_port = find_free_port(m_bound_address.m_host);
            try {
                m_server->listen(m_bound_address.m_host, m_bound_address.m_port);
                raise_accept_backlog(m_bound_address.m_port);
                return true;
            } catch (const std::exception&) {
                continue;
            }
        }
        return false;
    }

    strict_service m_service;
    cxxtools::EventLoop m_loop;
    std::unique_ptr<cxxtools::http::Server> m_server;
    std::thread m_thread;
};

server::server(server_options options, handler handle)
    : m_impl(std::make_unique<impl>(std::move(options), std::move(handle)))
{
}

server::~server() = default;

bool server::start()
{
    return m_impl->start();
}

const endpoint& server::bound_address() const
{
    return m_impl->m_bound_address;
}

void server::reject_new_requests()
{
    m_impl->m_state.reject_requests();
}

void server::stop()
{
    m_impl->stop();
}

} // namespace azureladder::http
