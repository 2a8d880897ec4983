#pragma once

#include <azureladder/base/enum_names.hpp>

#include <string>

namespace azureladder::http {

/// Reason why an exchange has no response.
enum class client_error_kind
{
    /// The connection could not be established, or it failed before the first byte was written.
    connect_failed,
    /// `m_before_send` returned false, the request is not valid HTTP, or the exchange was cancelled
    /// before the first byte was written.
    not_sent,
    /// The request was written, at least in part, and the connection ended before the response
    /// header was complete.
    lost,
    /// The connection ended before the response body was complete.
    truncated,
    /// The request was written, at least in part, and the timeout passed before the response was
    /// complete.
    timed_out,
    /// The response violates the protocol or exceeds a limit.
    malformed_reply,
    /// The exchange was cancelled after the request was written, at least in part.
    cancelled
};

inline constexpr enum_name<client_error_kind> client_error_kind_names[] = {
    {client_error_kind::connect_failed, "connect_failed"},
    {client_error_kind::not_sent, "not_sent"},
    {client_error_kind::lost, "lost"},
    {client_error_kind::truncated, "truncated"},
    {client_error_kind::timed_out, "timed_out"},
    {client_error_kind::malformed_reply, "malformed_reply"},
    {client_error_kind::cancelled, "cancelled"},
};

constexpr std::string_view to_string(client_error_kind value)
{
    return find_enum_name(client_error_kind_names, value);
}

/// True when the server cannot have received any part of the request.
constexpr bool nothing_was_sent(client_error_kind kind)
{
    return kind == client_error_kind::connect_failed || kind == client_error_kind::not_sent;
}

/// Error that `client::execute` returns.
struct client_error
{
    client_error_kind m_kind = client_error_kind::lost;
    std::string m_message;
};

} // namespace azureladder::http
