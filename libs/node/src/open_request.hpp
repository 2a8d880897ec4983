#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/core/request_info.hpp>
#include <azureladder/http/message.hpp>
#include <azureladder/wire/frames.hpp>

#include <future>
#include <map>
#include <memory>
#include <optional>

namespace azureladder::node {

/// Entry node of a forwarded request and the address and ids of the reply to it.
struct peer_origin
{
    member_id m_entry;
    endpoint m_reply_to;
    wire::correlation m_correlation;
    core::attempt_number m_attempt = 0;
};

/// A request without response yet. Exactly one of `m_caller` and `m_origin` is set.
struct open_request
{
    core::request_info m_info;

    /// Request for the backend server, without the routing headers.
    http::request m_message;

    std::shared_ptr<std::promise<http::response>> m_caller;
    std::optional<peer_origin> m_origin;

    /// Replies of answered attempts, by attempt.
    std::map<core::attempt_number, http::response> m_replies;
};

} // namespace azureladder::node
