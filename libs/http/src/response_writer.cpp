#include "response_writer.hpp"

#include "head_syntax.hpp"
#include "socket_io.hpp"

#include <cxxtools/http/reply.h>

#include <sys/socket.h>

#include <algorithm>
#include <ostream>

namespace azureladder::http {

namespace {

constexpr int status_internal_error = 500;
constexpr milliseconds rejection_write_timeout{1'000};
constexpr milliseconds rejection_read_timeout{500};
constexpr std::size_t rejection_read_block_bytes = 16'384;

// cxxtools throws when the headers of a message exceed 4,096 bytes. The 256 bytes are for Server,
// Date, Connection and Content-Length, which it adds.
constexpr std::size_t max_header_bytes = cxxtools::http::MessageHeader::MAXHEADERSIZE - 256;

constexpr std::string_view omitted_headers[] = {"Transfer-Encoding", "Keep-Alive", "Trailer",
                                                "Upgrade",           "Server",     "Date"};

bool is_omitted(const header_field& field)
{
    if (equals_ignoring_case(field.m_name, "Connection"))
        return !equals_ignoring_case(field.m_value, "close");
    return std::any_of(
        std::begin(omitted_headers), std::end(omitted_headers),
        [&field](std::string_view name) { return equals_ignoring_case(field.m_name, name); });
}

bool can_be_sent(const response& message)
{
    std::size_t size = 0;
    for (const auto& field : message.m_headers) {
        if (!is_token(field.m_name) || !is_field_value(field.m_value))
            return false;
        size += field.m_name.size() + field.m_value.size() + 2;
    }
    constexpr int first_final_status = 200;
    constexpr int last_status = 599;
    return size <= max_header_bytes && message.m_status >= first_final_status &&
           message.m_status <= last_status;
}

/// Content-Length that the handler set if the response has no body, otherwise the size of the body.
std::string content_length_of(const std::string& method, const response& message)
{
    const auto* given = find_header(message.m_headers, "Content-Length");
    if (given != nullptr && has_no_body(method, message.m_status))
        return *given;
    return std::to_string(message.m_body.size());
}

} // namespace

response internal_error_response(const request& original_request)
{
    response failed{
        status_internal_error, {{"Azureladder-Executed", "unknown"}, {"Connection", "close"}}, {}};
    const auto request_id = valid_request_id(original_request.m_headers);
    if (!request_id.empty())
        failed.m_headers.push_back({"Request-Id", request_id});
    return failed;
}

void write_response(const request& original_request, const response& message, std::ostream& out,
                    cxxtools::http::Reply& cxxtools_reply)
{
    if (!can_be_sent(message)) {
        write_response(original_request, internal_error_response(original_request), out,
                       cxxtools_reply);
        return;
    }
    const auto& method = original_request.m_method;
    cxxtools_reply.httpReturn(unsigned(message.m_status),
                              std::string(reason_phrase(message.m_status)));
    for (const auto& field : message.m_headers) {
        if (!is_omitted(field) && !equals_ignoring_case(field.m_name, "Content-Length"))
            cxxtools_reply.addHeader(field.m_name.c_str(), field.m_value.c_str());
    }
    cxxtools_reply.addHeader("Content-Length", content_length_of(method, message).c_str());
    if (!has_no_body(method, message.m_status))
        out.write(message.m_body.data(), std::streamsize(message.m_body.size()));
}

void send_rejection(int descriptor, const request_rejection& rejection,
                    const request& rejected_request)
{
    const auto message = make_rejection_response(rejection, rejected_request);
    std::string text = "HTTP/1.1 " + std::to_string(message.m_status) + " " +
                       std::string(reason_phrase(message.m_status)) + "\r\n";
    for (const auto& field : message.m_headers)
        text += field.m_name + ": " + field.m_value + "\r\n";
    text += "Content-Length: " + std::to_string(message.m_body.size()) + "\r\n\r\n";
    text += message.m_body;
    send_all(descriptor, text, {io_now() + rejection_write_timeout});
    ::shutdown(descriptor, SHUT_WR);
    const io_limits limits{io_now() + rejection_read_timeout};
    char ignored[rejection_read_block_bytes];
    while (io_now() < limits.m_deadline &&
           receive_some(descriptor, ignored, sizeof(ignored), limits).m_status == io_status::ok) {
    }
}

} // namespace azureladder::http
