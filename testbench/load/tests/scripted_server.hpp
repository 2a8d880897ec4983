#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azureladder::load {

/// HTTP server for requests without a body. A script gives the text of each response; the
/// connection is closed after a text without "keep" set.
class scripted_server
{
public:
    struct response
    {
        std::string m_text;
        bool m_keep = true;
    };
    using script = std::function<response(const std::string& request)>;
    using tcp = boost::asio::ip::tcp;

    scripted_server(boost::asio::io_context& context, script answer)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          m_answer(std::move(answer))
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    void close() { m_acceptor.close(); }

    int m_accepted = 0;
    std::vector<std::string> m_requests;

private:
    struct session
    {
        explicit session(tcp::socket socket) : m_socket(std::move(socket)) {}
        tcp::socket m_socket;
        std::string m_input;
        std::string m_output;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;
            ++m_accepted;
            read(std::make_shared<session>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<session>& one)
    {
        boost::asio::async_read_until(
            one->m_socket, boost::asio::dynamic_buffer(one->m_input), "\r\n\r\n",
            [this, one](const boost::system::error_code& error, std::size_t size) {
                if (!error)
                    answer(one, size);
            });
    }

    void answer(const std::shared_ptr<session>& one, std::size_t size)
    {
        const auto request = one->m_input.substr(0, size);
        one->m_input.erase(0, size);
        m_requests.push_back(request);
        const auto next = m_answer(request);
        one->m_output = next.m_text;
        boost::asio::async_write(
            one->m_socket, boost::asio::buffer(one->m_output),
            [this, one, keep = next.m_keep](const boost::system::error_code& error, std::size_t) {
                if (!error && keep)
                    read(one);
            });
    }

    tcp::acceptor m_acceptor;
    script m_answer;
};

/// Value of a header of a request; empty when it has none.
inline std::string header(const std::string& request, const std::string& name)
{
    const auto start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos)
        return {};
    const auto from = start + name.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
}

/// Response with a body as the backend test double sends it.
inline std::string echo(const std::string& request)
{
    const auto body = R"({"server":"s1","request_id":")" + header(request, "Request-Id") +
                      R"(","key":")" + header(request, "Azureladder-Key") + R"(","sequence":1})";
    return "HTTP/1.1 200 OK\r\nAzureladder-Executed: yes\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace azureladder::load
