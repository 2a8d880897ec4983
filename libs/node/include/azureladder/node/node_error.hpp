#pragma once

#include <azureladder/base/enum_names.hpp>

#include <string>

namespace azureladder::node {

enum class node_error_kind
{
    http_listen_failed,
    peer_listen_failed
};

inline constexpr enum_name<node_error_kind> node_error_kind_names[] = {
    {node_error_kind::http_listen_failed, "http_listen_failed"},
    {node_error_kind::peer_listen_failed, "peer_listen_failed"},
};

/// Reason why a node could not start.
struct node_error
{
    node_error_kind m_kind = node_error_kind::http_listen_failed;
    std::string m_message;
};

} // namespace azureladder::node
