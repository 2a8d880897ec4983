#pragma once

#include "call.hpp"

#include "http_connection.hpp"

#include <string>

namespace azureladder::load {

/// HTTP request of a call in the format of docs/design.md, section 4.1.
std::string request_text(const load_settings& settings, const call& issued);

/// Outcome of a complete or interrupted response.
call_outcome outcome_of(exchange_state state, const http_reply& reply);

} // namespace azureladder::load
