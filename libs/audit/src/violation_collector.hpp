#pragma once

#include <azureladder/audit/check.hpp>

#include <initializer_list>
#include <map>
#include <string>
#include <vector>

namespace azureladder::audit {

/// Collects the violations that the rules find, up to the limit of each rule.
class violation_collector
{
public:
    violation_collector(const history& events, const check_options& options)
        : m_history(events), m_options(options)
    {
    }

    /// Adds a violation with the log lines that prove it; null lines are skipped.
    void add(rule violated_rule, std::string message, std::initializer_list<const event*> lines);

    std::vector<violation> take_violations() { return std::move(m_violations); }

private:
    const history& m_history;
    const check_options& m_options;
    std::vector<violation> m_violations;
    std::map<rule, std::size_t> m_counts;
};

} // namespace azureladder::audit
