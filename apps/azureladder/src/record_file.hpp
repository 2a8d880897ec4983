#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/base/result.hpp>

#include <string>

namespace azureladder::cli {

/// A file of records that cannot be used.
struct file_error
{
    std::string m_message;
};

/// Reads a file that holds one record or an array of records, in JSON with comments, and checks
/// the records on their own. The result is an array.
result<json, file_error> read_record_file(const std::string& path);

} // namespace azureladder::cli
