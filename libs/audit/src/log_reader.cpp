#include <azureladder/audit/log_reader.hpp>

#include <algorithm>
#include <numeric>

namespace azureladder::audit {

namespace {

void add_malformed(history& into, malformed_line line)
{
    ++into.m_malformed_count;
    if (into.m_malformed.size() < max_listed_malformed)
        into.m_malformed.push_back(std::move(line));
}

/// Appends the event of a line. Returns false when the line is malformed or its event is unknown.
bool add_line(const std::string& text, log_position position, bool is_truncated, history& into)
{
    if (text.size() > log_reader::max_line_bytes) {
        add_malformed(into, {position, "the line exceeds the limit of 1 MiB", is_truncated});
        return false;
    }
    try {
        auto parsed = parse_event(json::parse(text));
        if (!parsed) {
            ++into.m_skipped_count;
            return false;
        }
        parsed->m_position = position;
        into.m_events.push_back(std::move(*parsed));
        return true;
    } catch (const json::exception& error) {
        add_malformed(into, {position, error.what(), is_truncated});
        return false;
    }
}

} // namespace

std::string to_string(const log_error& error)
{
    auto text = error.m_file;
    if (error.m_line > 0)
        text += ":" + std::to_string(error.m_line);
    return text + ": " + error.m_message;
}

void merge_by_time(history& events)
{
    auto& list = events.m_events;
    std::vector<std::size_t> order(list.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return list[a].m_time_us < list[b].m_time_us;
    });
    // Moves each event once, along the cycles of the permutation. Sorting the events themselves
    // would move each several times and need memory for a second copy of all.
    for (std::size_t start = 0; start < order.size(); ++start) {
        if (order[start] == start)
            continue;
        auto first = std::move(list[start]);
        auto at = start;
        while (order[at] != start) {
            const auto next = order[at];
            list[at] = std::move(list[next]);
            order[at] = at;
            at = next;
        }
        list[at] = std::move(first);
        order[at] = at;
    }
}

result<log_reader, log_error> log_reader::open(const std::string& path)
{
    auto input = std::make_unique<std::ifstream>(path, std::ios::binary);
    if (!*input)
        return log_error{path, 0, "the log cannot be opened"};
    return log_reader(std::move(input), path);
}

log_reader::log_reader(std::unique_ptr<std::istream> input, std::string name)
    : m_input(std::move(input)), m_name(std::move(name))
{
}

bool log_reader::next(history& into)
{
    if (!m_file_index) {
        m_file_index = std::uint32_t(into.m_files.size());
        into.m_files.push_back(m_name);
    }
    std::string text;
    while (std::getline(*m_input, text)) {
        ++m_line;
        const bool is_truncated = m_input->eof();
        if (text.empty())
            continue;
        if (add_line(text, {*m_file_index, m_line}, is_truncated, into))
            return true;
    }
    return false;
}

std::optional<log_error> log_reader::failure() const
{
    if (!m_input->bad())
        return std::nullopt;
    return log_error{m_name, m_line, "reading the log failed before its end"};
}

result<history, log_error> read_logs(const std::vector<std::string>& paths)
{
    history events;
    for (const auto& path : paths) {
        auto reader = log_reader::open(path);
        if (!reader)
            return std::move(reader).error();
        while (reader.value().next(events)) {
        }
        if (const auto failure = reader.value().failure())
            return *failure;
    }
    merge_by_time(events);
    return events;
}

} // namespace azureladder::audit
