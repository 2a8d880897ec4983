#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace azureladder {

using json = nlohmann::json;

/// Text of a JSON value. Replaces invalid UTF-8 in its strings and never throws for it, because
/// they may come from other processes.
inline std::string dump_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace azureladder
