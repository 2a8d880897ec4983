#pragma once

#include <string>

namespace azureladder::records {

/// Error in a record, a change or a document.
struct records_error
{
    /// Path of the invalid field, for example "records[2].slices".
    std::string m_path;

    /// Reason, with the expected value where there is one.
    std::string m_message;
};

} // namespace azureladder::records
