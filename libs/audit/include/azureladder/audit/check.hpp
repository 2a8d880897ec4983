#pragma once

#include <azureladder/audit/history.hpp>
#include <azureladder/audit/rule.hpp>
#include <azureladder/base/time.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace azureladder::audit {

/// A log line that is part of a violation.
struct log_line
{
    std::string m_file;
    std::uint64_t m_line = 0;
    std::string m_summary;
};

/// Violation of a rule by the history.
struct violation
{
    rule m_rule = rule::single_owner;
    std::string m_message;
    std::vector<log_line> m_lines;
};

struct check_options
{
    /// Maximum difference between the wall clocks of two machines. Intervals of two processes
    /// conflict only when they overlap by more than this.
    duration m_clock_tolerance = milliseconds(5);

    /// Time after an accepted removal in which a zone or server may still receive work.
    duration m_removal_grace_period = seconds(3);

    /// Time after an accepted change in which a node may still use an older revision.
    duration m_configuration_grace_period = seconds(5);

    /// Maximum number of violations listed per rule.
    std::size_t m_max_per_rule = 100;
};

/// Checks all rules. An empty result means that the logs show no violation.
std::vector<violation> check(const history& events, const check_options& options = {});

} // namespace azureladder::audit
