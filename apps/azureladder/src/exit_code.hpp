#pragma once

namespace azureladder::cli {

/// Exit codes of the command line. Scripts depend on the numbers.
enum class exit_code
{
    /// Accepted, valid, found, or no violation.
    ok = 0,
    /// A check failed: violations, or what was asked for does not exist.
    check_failed = 1,
    /// Wrong arguments, or a file that cannot be read or is not valid.
    invalid_input = 2,
    /// The change was not made and will not be made.
    rejected = 3,
    /// Whether the change is in effect everywhere is not known.
    unknown = 4,
    /// The node cannot be reached or gave no usable answer. No change was made.
    unreachable = 5
};

} // namespace azureladder::cli
