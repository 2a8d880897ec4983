#pragma once

#include <nlohmann/json.hpp>

namespace azureladder {

using json = nlohmann::json;

} // namespace azureladder
