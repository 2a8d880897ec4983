#include "rules.hpp"

#include <algorithm>
#include <map>

namespace azureladder::audit {

namespace {

/// Revision in effect at a node since its last start.
struct node_revision
{
    const event* m_installed = nullptr;

    /// Highest required revision for which a violation was added, so that each is added once.
    revision_number m_reported_revision = 0;
};

/// Latest change that every node must have installed at `time_us`; null when there is none.
const event* change_in_effect(const std::vector<const event*>& changes, std::int64_t time_us,
                              std::int64_t limit_us)
{
    const auto first_later = std::upper_bound(
        changes.begin(), changes.end(), time_us - limit_us,
        [](std::int64_t time, const event* change) { return time <= change->m_time_us; });
    return first_later == changes.begin() ? nullptr : *(first_later - 1);
}

void check_dispatch(const event& dispatch, const event* required, node_revision& node,
                    violation_collector& violations)
{
    if (required == nullptr || required->m_revision <= node.m_reported_revision)
        return;
    const auto installed = node.m_installed == nullptr ? 0 : node.m_installed->m_revision;
    if (installed >= required->m_revision)
        return;
    node.m_reported_revision = required->m_revision;
    violations.add(rule::configuration_in_effect,
                   "node " + dispatch.m_node + " dispatched with revision " +
                       std::to_string(installed) + " although revision " +
                       std::to_string(required->m_revision) + " had been accepted",
                   {required, node.m_installed, &dispatch});
}

/// Unfinished requests at one node by id: the line of the last receipt and the number of receipts.
using open_requests = std::map<std::string, std::pair<const event*, int>>;

void report_open(const event& stop, const open_requests& open, violation_collector& violations)
{
    for (const auto& [request_id, received] : open) {
        violations.add(rule::graceful_stop,
                       "node " + stop.m_node + " stopped before request " + request_id +
                           " finished",
                       {received.first, &stop});
    }
}

void close_request(const event& line, open_requests& open)
{
    const auto known = open.find(line.m_request_id);
    if (known != open.end() && --known->second.second == 0)
        open.erase(known);
}

} // namespace

std::vector<const event*> accepted_changes(const history& events)
{
    std::vector<const event*> changes;
    revision_number highest = 0;
    for (const auto& line : events.m_events) {
        if (line.m_kind != event_kind::change_accepted || line.m_revision <= highest)
            continue;
        highest = line.m_revision;
        changes.push_back(&line);
    }
    return changes;
}

void check_configuration_monotonic(const rule_input& input, violation_collector& violations)
{
    std::map<std::pair<std::string, std::string>, const event*> last;
    for (const auto& line : input.m_history.m_events) {
        if (line.m_kind != event_kind::revision_installed)
            continue;
        auto& known = last[{line.m_node, line.m_incarnation}];
        if (known != nullptr && line.m_revision < known->m_revision) {
            violations.add(rule::configuration_monotonic,
                           "node " + line.m_node + " installed revision " +
                               std::to_string(line.m_revision) + " after revision " +
                               std::to_string(known->m_revision),
                           {known, &line});
        }
        known = &line;
    }
}

void check_configuration_in_effect(const rule_input& input, violation_collector& violations)
{
    const auto changes = accepted_changes(input.m_history);
    const auto limit_us = input.m_options.m_configuration_grace_period.count();
    std::map<std::string, node_revision> nodes;
    for (const auto& line : input.m_history.m_events) {
        switch (line.m_kind) {
        case event_kind::node_started:
            nodes[line.m_node] = {};
            break;
        case event_kind::revision_installed:
            nodes[line.m_node].m_installed = &line;
            break;
        case event_kind::request_dispatched:
            check_dispatch(line, change_in_effect(changes, line.m_time_us, limit_us),
                           nodes[line.m_node], violations);
            break;
        default:
            break;
        }
    }
}

void check_graceful_stop(const rule_input& input, violation_collector& violations)
{
    std::map<std::string, open_requests> nodes;
    for (const auto& line : input.m_history.m_events) {
        switch (line.m_kind) {
        case event_kind::node_started:
            nodes[line.m_node].clear();
            break;
        case event_kind::request_received: {
            auto& received = nodes[line.m_node][line.m_request_id];
            received = {&line, received.second + 1};
            break;
        }
        case event_kind::request_finished:
            close_request(line, nodes[line.m_node]);
            break;
        case event_kind::node_stopped:
            report_open(line, nodes[line.m_node], violations);
            nodes[line.m_node].clear();
            break;
        default:
            break;
        }
    }
}

} // namespace azureladder::audit
