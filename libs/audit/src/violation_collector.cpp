#include "violation_collector.hpp"

#include <azureladder/audit/format.hpp>

namespace azureladder::audit {

void violation_collector::add(rule violated_rule, std::string message,
                              std::initializer_list<const event*> lines)
{
    if (m_counts[violated_rule] >= m_options.m_max_per_rule)
        return;
    ++m_counts[violated_rule];
    violation found{violated_rule, std::move(message), {}};
    for (const auto* line : lines) {
        if (line == nullptr)
            continue;
        const auto& position = line->m_position;
        found.m_lines.push_back(
            {m_history.m_files.at(position.m_file), position.m_line, summary(*line)});
    }
    m_violations.push_back(std::move(found));
}

} // namespace azureladder::audit
