#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/time.hpp>

#include <string>

namespace azureladder::core {
struct node_state;
}

/// The reducer's state as JSON, for operators.
namespace azureladder::node {

/// Node, revision, plans of all nodes, zones, backend servers, slices with their owners.
json status_json(const core::node_state& state, time_point now);

/// Slice and owner of a key; null when the service does not exist or is not divided by key.
json where_json(const core::node_state& state, const std::string& service, const std::string& key);

} // namespace azureladder::node
