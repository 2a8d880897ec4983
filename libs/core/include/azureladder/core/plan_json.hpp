#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/core/directory.hpp>
#include <azureladder/core/plan.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// JSON encoding of the values that the ownership module stores.
namespace azureladder::core {

/// Parses `text` as a JSON object. An empty text gives an empty object, any other value nothing.
std::optional<json> parse_object(const std::string& text);

/// Field name of a plan in its shard.
std::string plan_field(const member_id& member);

json plan_to_json(const plan& value);

/// Plan in a JSON object; nothing when a field is missing or has another type.
std::optional<plan> plan_from_json(const json& value);

/// Plans in one store value `plans/<shard>`.
using plan_shard = std::map<member_id, plan>;

/// Nothing when the text is not a JSON object. Malformed plans in it are counted and left out.
std::optional<plan_shard> plan_shard_from_text(const std::string& text, std::size_t& malformed);

/// Owners in one store value `slices/<space>/<shard>`, by slice index.
using slice_table = std::map<std::uint32_t, slice_location>;

json location_to_json(const slice_location& value);

/// Nothing when the text is not a JSON object. Malformed entries in it are counted and left out.
std::optional<slice_table> slice_table_from_text(const std::string& text, std::size_t& malformed);

} // namespace azureladder::core
