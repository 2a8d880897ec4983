#include "rules.hpp"

#include <algorithm>
#include <map>

namespace azureladder::audit {

namespace {

/// Period in which a node owned a slice according to its own log.
struct ownership
{
    const event* m_start = nullptr;
    const event* m_end = nullptr;
    std::int64_t m_end_us = 0;

    /// Time of the last use of the slice: the start or the last request dispatched for it.
    std::int64_t m_last_use_us = 0;
};

using incarnation_key = std::pair<std::string, std::string>;

incarnation_key incarnation_of(const event& line)
{
    return {line.m_node, line.m_incarnation};
}

/// Time of the last line of each incarnation, which ends the ownerships of a node that was killed.
std::map<incarnation_key, std::int64_t> last_lines(const history& events)
{
    std::map<incarnation_key, std::int64_t> last;
    for (const auto& line : events.m_events) {
        if (!line.m_node.empty())
            last[incarnation_of(line)] = line.m_time_us;
    }
    return last;
}

/// End of an ownership according to the node's own log. A node that was paused beyond the expiry of
/// its lease writes the line only after it resumes. When the line has no time of the expiry, the
/// ownership ends at its last use.
std::int64_t end_of(const ownership& one, const event& end)
{
    if (end.m_logged_end_us)
        return *end.m_logged_end_us;
    return end.m_reason == "lease_expired" ? one.m_last_use_us : end.m_time_us;
}

std::map<slice_id, std::vector<ownership>> find_ownerships(const history& events)
{
    std::map<slice_id, std::vector<ownership>> ownerships;
    const auto last = last_lines(events);
    std::map<std::pair<slice_id, incarnation_key>, std::size_t> open;
    for (const auto& line : events.m_events) {
        const bool is_end = line.m_kind == event_kind::ownership_ended;
        const bool is_use = line.m_kind == event_kind::request_dispatched;
        if (line.m_kind != event_kind::ownership_started && !is_end && !is_use)
            continue;
        const std::pair key{line.m_slice, incarnation_of(line)};
        const auto known = open.find(key);
        auto& of_slice = ownerships[line.m_slice];
        if (!is_end && !is_use) {
            open[key] = of_slice.size();
            of_slice.push_back({&line, nullptr, last.at(key.second), line.m_time_us});
        } else if (known != open.end() && is_use) {
            of_slice[known->second].m_last_use_us = line.m_time_us;
        } else if (known != open.end()) {
            auto& one = of_slice[known->second];
            one.m_end = &line;
            one.m_end_us = end_of(one, line);
            open.erase(known);
        }
    }
    return ownerships;
}

/// Calls `report(a, b)` for each two intervals that overlap by more than `tolerance_us` and for
/// which `differs(a, b)` is true. `intervals` must be sorted by start.
template <class Interval, class Differs, class Report>
void find_overlaps(const std::vector<Interval>& intervals, std::int64_t tolerance_us,
                   Differs differs, Report report)
{
    std::vector<const Interval*> active;
    for (const auto& later : intervals) {
        const auto start_us = later.m_start->m_time_us;
        active.erase(std::remove_if(active.begin(), active.end(),
                                    [&](const Interval* earlier) {
                                        return earlier->m_end_us <= start_us + tolerance_us;
                                    }),
                     active.end());
        for (const auto* earlier : active) {
            if (later.m_end_us > start_us + tolerance_us && differs(*earlier, later))
                report(*earlier, later);
        }
        active.push_back(&later);
    }
}

std::string slice_text(const slice_id& slice)
{
    return slice.m_space + "#" + std::to_string(slice.m_index);
}

} // namespace

void check_overlapping_executions(const rule_input& input, violation_collector& violations)
{
    const auto divided = divided_services(input.m_history);
    std::map<service_and_key, std::vector<execution>> by_key;
    for (const auto& one : input.m_executions) {
        if (divided.count(one.m_start->m_service) > 0)
            by_key[{one.m_start->m_service, one.m_start->m_key}].push_back(one);
    }
    for (const auto& [key, executions] : by_key) {
        find_overlaps(
            executions, input.m_options.m_clock_tolerance.count(),
            [](const execution& a, const execution& b) {
                return a.m_start->m_server != b.m_start->m_server;
            },
            [&](const execution& a, const execution& b) {
                violations.add(rule::single_owner,
                               "servers " + a.m_start->m_server + " and " + b.m_start->m_server +
                                   " executed key \"" + a.m_start->m_key + "\" of service " +
                                   a.m_start->m_service + " at the same time",
                               {a.m_start, a.m_finish, b.m_start, b.m_finish});
            });
    }
}

void check_decreasing_epochs(const rule_input& input, violation_collector& violations)
{
    const auto tolerance_us = input.m_options.m_clock_tolerance.count();
    std::map<slice_id, const event*> highest;
    for (const auto& one : input.m_executions) {
        const auto& start = *one.m_start;
        if (start.m_epoch == 0)
            continue;
        auto& known = highest[start.m_slice];
        if (known == nullptr || start.m_epoch > known->m_epoch) {
            known = &start;
        } else if (start.m_epoch < known->m_epoch &&
                   start.m_time_us > known->m_time_us + tolerance_us) {
            violations.add(rule::single_owner,
                           "slice " + slice_text(start.m_slice) + " was served at epoch " +
                               std::to_string(start.m_epoch) + " after epoch " +
                               std::to_string(known->m_epoch),
                           {known, &start});
        }
    }
}

void check_overlapping_ownership(const rule_input& input, violation_collector& violations)
{
    for (const auto& [slice, ownerships] : find_ownerships(input.m_history)) {
        find_overlaps(
            ownerships, input.m_options.m_clock_tolerance.count(),
            [](const ownership& a, const ownership& b) {
                return incarnation_of(*a.m_start) != incarnation_of(*b.m_start);
            },
            [&, &of_slice = slice](const ownership& a, const ownership& b) {
                violations.add(rule::single_owner,
                               "nodes " + a.m_start->m_node + " and " + b.m_start->m_node +
                                   " owned slice " + slice_text(of_slice) + " at the same time",
                               {a.m_start, a.m_end, b.m_start, b.m_end});
            });
    }
}

} // namespace azureladder::audit
