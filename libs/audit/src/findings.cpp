#include "findings.hpp"

#include <azureladder/audit/format.hpp>

namespace azureladder::audit {

void findings::add(rule broken, std::string message, std::initializer_list<const event*> lines)
{
    if (m_counts[broken] >= m_options.m_max_per_rule)
        return;
    ++m_counts[broken];
    violation found{broken, std::move(message), {}};
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
