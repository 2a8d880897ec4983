#pragma once

#include <azureladder/base/enum_names.hpp>

#include <string>

namespace azureladder::http {

/// Why an exchange brought no reply.
enum class client_error_kind
{
    /// No connection was established, or it failed before the first byte was written.
    connect_failed,
    /// `before_send` refused, or the exchange was cancelled before the first byte was written.
    not_sent,
    /// The request was written, at least in part, and the connection ended without a reply header.
    lost,
    /// The reply body was cut.
    truncated,
    /// No whole reply within the timeout, after the request was written at least in part.
    timed_out,
    /// The reply violates the protocol or exceeds a limit.
    malformed_reply,
    /// Cancelled after the request was written at least in part.
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
    return name_in(client_error_kind_names, value);
}

/// True when the server cannot have received any part of the request.
constexpr bool nothing_was_sent(client_error_kind kind)
{
    return kind == client_error_kind::connect_failed || kind == client_error_kind::not_sent;
}

/// Error of `client`.
struct client_error
{
    client_error_kind m_kind = client_error_kind::lost;
    std::string m_message;
};

} // namespace azureladder::http
