#include "strict_responder.hpp"

#include "cxxtools_request_head.hpp"
#include "response_writer.hpp"
#include "socket_io.hpp"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/tcpsocket.h>

#include <sys/socket.h>

#include <algorithm>
#include <istream>

namespace azureladder::http {

namespace {

constexpr milliseconds interim_write_timeout{1'000};

request_rejection stopping_rejection()
{
    return {503, "the server is stopping and accepts no new requests"};
}

} // namespace

strict_responder::strict_responder(cxxtools::http::Service& service, server_state& state)
    : Responder(service), m_state(state)
{
}

strict_responder::~strict_responder()
{
    if (m_request_begun)
        m_state.end_request();
}

void strict_responder::beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                                    cxxtools::http::Request& parsed)
{
    m_descriptor = socket.getFd();
    disable_nagle(m_descriptor);
    m_rejection = receive_request(m_descriptor, in, parsed);
    if (!m_rejection) {
        m_request_begun = m_state.try_begin_request();
        if (!m_request_begun)
            m_rejection = stopping_rejection();
    }
    // send_rejection() closes the sending side, so the reply that cxxtools then writes is not sent.
    if (m_rejection)
        send_rejection(m_descriptor, *m_rejection, m_request);
    m_request.m_remote_address = socket.getPeerAddr();
    // The body is complete or rejected. Without Content-Length, cxxtools calls reply() directly and
    // does not count body bytes; its count is wrong when more than the body is buffered.
    parsed.removeHeader("Content-Length");
}

std::optional<request_rejection>
strict_responder::receive_request(int descriptor, std::istream& in,
                                  const cxxtools::http::Request& parsed)
{
    auto head = extract_request_head(parsed, consumed_bytes(*in.rdbuf()));
    if (!head)
        return head.error();
    m_request = std::move(head.value());
    const auto framing = check_framing(m_request.m_headers, m_state.m_options.m_max_body_bytes);
    if (!framing)
        return framing.error();
    return read_body(descriptor, in, framing.value());
}

std::optional<request_rejection> strict_responder::read_body(int descriptor, std::istream& in,
                                                             const body_framing& framing)
{
    const io_limits limits{io_now() + m_state.m_options.m_read_timeout, m_state.drain_descriptor()};
    const auto length = std::size_t(framing.m_length);
    const auto buffered = std::size_t(std::max<std::streamsize>(in.rdbuf()->in_avail(), 0));
    auto& body = m_request.m_body;
    body.resize(length);
    const auto head = std::min(buffered, length);
    in.rdbuf()->sgetn(body.data(), std::streamsize(head));
    if (framing.m_expects_continue && head < length)
        send_all(descriptor, "HTTP/1.1 100 Continue\r\n\r\n", {io_now() + interim_write_timeout});
    for (auto received = head; received < length;) {
        const auto part =
            receive_some(descriptor, body.data() + received, length - received, limits);
        if (part.m_status == io_status::timed_out)
            return request_rejection{408,
                                     "the request body was not complete within the read timeout"};
        if (part.m_status == io_status::cancelled)
            return stopping_rejection();
        if (part.m_status != io_status::ok)
            return request_rejection{400,
                                     "the connection ended before the request body was complete"};
        received += part.m_bytes;
    }
    if (buffered > length || has_pending_bytes(descriptor))
        return request_rejection{400, "the request has more bytes than its declared length"};
    return std::nullopt;
}

void strict_responder::reply(std::ostream& out, cxxtools::http::Request&,
                             cxxtools::http::Reply& cxxtools_reply)
{
    if (m_rejection)
        return;
    const auto message = m_state.m_handler(m_request);
    if (message.m_status == close_without_response)
        // Makes the write of cxxtools fail, after which cxxtools closes the connection.
        ::shutdown(m_descriptor, SHUT_RDWR);
    else
        write_response(m_request, message, out, cxxtools_reply);
}

void strict_responder::replyError(std::ostream& out, cxxtools::http::Request&,
                                  cxxtools::http::Reply& cxxtools_reply, const std::exception&)
{
    write_response(m_request, internal_error_response(m_request), out, cxxtools_reply);
}

cxxtools::http::Responder* strict_service::createResponder(const cxxtools::http::Request&)
{
    return std::make_unique<strict_responder>(*this, m_state).release();
}

void strict_service::releaseResponder(cxxtools::http::Responder* responder)
{
    const std::unique_ptr<cxxtools::http::Responder> owned(responder);
}

} // namespace azureladder::http
