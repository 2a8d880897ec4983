#pragma once

#include <azureladder/base/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace azureladder::sidecar {

/// Backend servers whose leaving was acknowledged: for each id the start (Unix milliseconds) of the
/// newest life that left. A server may come back under its id with a later start.
using departed_lives = std::map<std::string, std::int64_t>;

/// Adds the lives of `other` and returns whether any was new.
bool merge(departed_lives& lives, const departed_lives& other);

/// JSON object of ids and starts.
std::string to_text(const departed_lives& lives);

/// Empty when the text is no such object.
std::optional<departed_lives> parse_departed_lives(const std::string& text);

} // namespace azureladder::sidecar
