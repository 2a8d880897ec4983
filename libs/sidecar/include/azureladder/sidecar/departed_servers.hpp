#pragma once

#include <azureladder/base/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace azureladder::sidecar {

/// Backend servers whose departure was acknowledged: for each id the start time (Unix milliseconds)
/// of the newest incarnation that left. A server may return under its id with a later start time.
using departed_servers = std::map<std::string, std::int64_t>;

/// Departures retained per node. A VM runs few servers per day, and announcements are delayed by
/// seconds at most.
inline constexpr std::size_t max_departed_servers = 16;

/// Adds the departures of `other`. Returns whether any was new.
bool merge(departed_servers& servers, const departed_servers& other);

/// JSON object that maps ids to start times.
std::string to_text(const departed_servers& servers);

/// Empty when the text is not a JSON object of integers.
std::optional<departed_servers> parse_departed_servers(const std::string& text);

} // namespace azureladder::sidecar
