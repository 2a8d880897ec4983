#pragma once

#include <string>

namespace azureladder::records {

/// A record that cannot be accepted.
struct records_error
{
    /// Path to the offending field, for example "records[2].slices".
    std::string m_path;

    /// What was expected.
    std::string m_message;
};

} // namespace azureladder::records
