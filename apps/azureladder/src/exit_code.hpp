#pragma once

namespace azureladder::cli {

/// Exit codes of the command line, on which operators' scripts depend.
enum class exit_code
{
    /// Accepted, valid, found, or no violation.
    ok = 0,
    /// A check found violations, or the requested object does not exist.
    check_failed = 1,
    /// Invalid arguments, or a file that is unreadable or invalid.
    invalid_input = 2,
    /// The change was rejected and will not take effect.
    rejected = 3,
    /// It is unknown whether the change is in effect on every node.
    unknown = 4,
    /// The node is unreachable or returned no valid response. No change was made.
    unreachable = 5
};

} // namespace azureladder::cli
