#include "http_node_client.hpp"

#include <azureladder/http/client.hpp>

#include <algorithm>

namespace azureladder::cli {

namespace {

class http_node_client : public node_client
{
public:
    http_node_client(const endpoint& node, duration timeout)
        : m_client(node), m_timeout(std::chrono::duration_cast<milliseconds>(timeout))
    {
    }

    result<node_response, client_error> call(const std::string& method, const std::string& target,
                                             const std::string& body) override
    {
        http::request message;
        message.m_method = method;
        message.m_target = target;
        message.m_body = body;
        if (!body.empty())
            http::set_header(message.m_headers, "Content-Type", "application/json");
        http::execute_options options;
        options.m_timeout = m_timeout;
        options.m_connection = http::connection_use::fresh;
        const auto response = m_client.execute(message, options);
        if (!response)
            return client_error{http::nothing_was_sent(response.error().m_kind),
                                response.error().m_message};
        return node_response{response.value().m_status, response.value().m_body};
    }

private:
    http::client m_client;
    milliseconds m_timeout;
};

} // namespace

std::unique_ptr<node_client> make_http_node_client(const endpoint& node, duration timeout)
{
    return std::make_unique<http_node_client>(node, timeout);
}

} // namespace azureladder::cli
