#pragma once

#include <azureladder/audit/log_reader.hpp>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace azureladder::audit {

/// History of one log with the given text.
inline history history_of_text(const std::string& text)
{
    history events;
    log_reader reader(std::make_unique<std::istringstream>(text), "test.jsonl");
    while (reader.next(events)) {
    }
    merge_by_time(events);
    return events;
}

/// History of one log; the lines are JSON objects without braces.
inline history history_of(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text += "{" + line + "}\n";
    return history_of_text(text);
}

} // namespace azureladder::audit
