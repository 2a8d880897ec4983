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

/// Entry node that waits for the reply to a forwarded request.
struct peer_origin
{
    member_id m_entry;
    endpoint m_reply_to;
    wire::correlation m_correlation;
    core::attempt_number m_attempt = 0;
};

/// A request that this process still has to answer. Exactly one of `m_caller` and `m_origin` is
/// set.
struct open_request
{
    core::request_info m_info;

    /// Request as the backend server gets it, without the routing headers.
    http::request m_message;

    std::shared_ptr<std::promise<http::response>> m_caller;
    std::optional<peer_origin> m_origin;

    /// Whole replies of finished attempts.
    std::map<core::attempt_number, http::response> m_replies;
};

} // namespace azureladder::node
