#pragma once

#include "connection.hpp"

#include <azureladder/base/result.hpp>
#include <azureladder/http/client_error.hpp>
#include <azureladder/http/client_options.hpp>
#include <azureladder/http/message.hpp>

namespace azureladder::http {

/// Reads one response from a connection.
class response_reader
{
public:
    response_reader(connection& source, const io_limits& limits, const client_options& options)
        : m_connection(source), m_limits(limits), m_options(options)
    {
    }

    /// Reads the final response to a request with `method` and skips interim (1xx) responses.
    result<response, client_error> read(const std::string& method);

    /// True when the connection may carry another exchange after a successful `read()`: no bytes
    /// follow the response and the server keeps the connection open.
    bool reusable() const { return m_reusable && m_buffer.empty(); }

private:
    std::optional<client_error> read_head(response& reply);
    std::optional<client_error> parse_head(std::string_view head, response& reply);
    std::optional<client_error> read_body(const std::string& method, response& reply);
    std::optional<client_error> read_chunks(response& reply);
    std::optional<client_error> read_chunk_size(std::uint64_t& size);
    std::optional<client_error> read_line(std::string& line);
    std::optional<client_error> read_exactly(std::size_t size, std::string& target);
    std::optional<client_error> read_more(client_error_kind kind_when_closed);

    connection& m_connection;
    io_limits m_limits;
    const client_options& m_options;
    std::string m_buffer;
    bool m_reusable = false;
};

} // namespace azureladder::http
