#pragma once

#include "node_client.hpp"

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>

#include <memory>

namespace azureladder::cli {

/// Creates a client of the node at `node`. Each call uses a new connection and takes at most
/// `timeout`.
std::unique_ptr<node_client> make_http_node_client(const endpoint& node, duration timeout);

} // namespace azureladder::cli
