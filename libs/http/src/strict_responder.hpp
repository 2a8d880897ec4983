#pragma once

#include "request_head.hpp"
#include "server_state.hpp"

#include <cxxtools/http/responder.h>
#include <cxxtools/http/service.h>

#include <memory>
#include <optional>

namespace cxxtools::http {
class Reply;
class Request;
} // namespace cxxtools::http

namespace azureladder::http {

/// Receives one request, validates it strictly and writes the response. cxxtools calls
/// `beginRequest` after it has parsed the header, and then `reply`; both run on the same server
/// thread.
class strict_responder final : public cxxtools::http::Responder
{
public:
    strict_responder(cxxtools::http::Service& service, server_state& state);
    ~strict_responder() override;

    void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                      cxxtools::http::Request& parsed) override;
    void reply(std::ostream& out, cxxtools::http::Request& parsed,
               cxxtools::http::Reply& cxxtools_reply) override;
    void replyError(std::ostream& out, cxxtools::http::Request& parsed,
                    cxxtools::http::Reply& cxxtools_reply, const std::exception& error) override;

private:
    std::optional<request_rejection> receive_request(int descriptor, std::istream& in,
                                                     const cxxtools::http::Request& parsed);
    std::optional<request_rejection> read_body(int descriptor, std::istream& in,
                                               const body_framing& framing);

    server_state& m_state;
    int m_descriptor = -1;
    request m_request;
    std::optional<request_rejection> m_rejection;
    bool m_request_begun = false;
};

/// Creates a `strict_responder` for each request.
class strict_service final : public cxxtools::http::Service
{
public:
    explicit strict_service(server_state& state) : m_state(state) {}

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request& parsed) override;
    void releaseResponder(cxxtools::http::Responder* responder) override;

private:
    server_state& m_state;
};

} // namespace azureladder::http
