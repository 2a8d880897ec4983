#pragma once

#include <azureladder/base/object_reader.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/core/backend_info.hpp>

#include <string>

namespace azureladder::node {

/// Parses the body of an announcement of a backend server. The error states what was expected.
result<core::backend_info, field_error> parse_announcement(const std::string& text);

} // namespace azureladder::node
