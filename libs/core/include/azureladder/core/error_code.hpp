#pragma once

#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/executed.hpp>

namespace azureladder::core {

/// Errors that callers receive. docs/design.md, section 4.2, lists them.
enum class error_code
{
    bad_request,
    missing_key,
    unknown_service,
    body_too_large,
    bad_deadline,
    overloaded,
    deadline_in_queue,
    no_owner,
    not_serving,
    zone_out,
    stopping,
    no_upstream,
    refused_by_backend,
    connect_failed,
    peer_unreachable,
    claim_refused,
    peer_lost,
    backend_lost,
    deadline_exceeded,
    claim_in_progress,
    claim_unknown,
};

inline constexpr enum_name<error_code> error_code_names[] = {
    {error_code::bad_request, "bad_request"},
    {error_code::missing_key, "missing_key"},
    {error_code::unknown_service, "unknown_service"},
    {error_code::body_too_large, "body_too_large"},
    {error_code::bad_deadline, "bad_deadline"},
    {error_code::overloaded, "overloaded"},
    {error_code::deadline_in_queue, "deadline_in_queue"},
    {error_code::no_owner, "no_owner"},
    {error_code::not_serving, "not_serving"},
    {error_code::zone_out, "zone_out"},
    {error_code::stopping, "stopping"},
    {error_code::no_upstream, "no_upstream"},
    {error_code::refused_by_backend, "refused_by_backend"},
    {error_code::connect_failed, "connect_failed"},
    {error_code::peer_unreachable, "peer_unreachable"},
    {error_code::claim_refused, "claim_refused"},
    {error_code::peer_lost, "peer_lost"},
    {error_code::backend_lost, "backend_lost"},
    {error_code::deadline_exceeded, "deadline_exceeded"},
    {error_code::claim_in_progress, "claim_in_progress"},
    {error_code::claim_unknown, "claim_unknown"},
};

constexpr std::string_view to_string(error_code code)
{
    return find_enum_name(error_code_names, code);
}

/// Whether a request answered with `code` was executed; `unknown` when neither can be proven.
executed executed_for(error_code code);

/// HTTP status code of an answer with `code`.
int http_status_for(error_code code);

} // namespace azureladder::core
