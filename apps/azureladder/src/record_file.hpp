#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/result.hpp>

#include <string>

namespace azureladder::cli {

/// Error of a file of records that cannot be read or is invalid.
struct file_error
{
    std::string m_message;
};

/// Reads a file with one record or an array of records, in JSON with comments, and validates each
/// record without the configuration of the cluster. The result is an array.
result<json, file_error> read_record_file(const std::string& path);

} // namespace azureladder::cli
