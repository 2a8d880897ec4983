#pragma once

#include <azureladder/routing/request_kind.hpp>
#include <azureladder/sidecar/header_field.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace azureladder::sidecar {

/// A caller's request as it is forwarded to a backend server, with the fields that the admission
/// queue of that server sorts by.
struct forwarded_request
{
    std::string m_request_id;
    std::string m_method;

    /// Path and query as the caller sent them.
    std::string m_target;

    std::string m_host;

    /// End-to-end headers, except those that the node sets.
    header_fields m_headers;

    std::string m_body;

    /// Service on the VM that the request originates from.
    std::string m_caller_service;

    std::optional<std::uint32_t> m_key;

    /// Service that executes the request.
    std::string m_service;

    std::string m_route;
    std::uint32_t m_priority = 0;
    routing::request_kind m_kind = routing::request_kind::non_idempotent;

    /// A backend server makes the request during the execution of another one.
    bool m_is_call = false;

    /// Organisation of the caller; empty without one. Its priority takes precedence over that of
    /// the route, and is 0 without an organisation.
    std::string m_organisation;
    std::uint32_t m_organisation_priority = 0;
};

using forwarded_request_ptr = std::shared_ptr<const forwarded_request>;

} // namespace azureladder::sidecar
