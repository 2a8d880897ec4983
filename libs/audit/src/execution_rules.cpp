#include "rules.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace azureladder::audit {

namespace {

constexpr auto never_us = std::numeric_limits<std::int64_t>::max();

/// Period in which a zone or server must not receive new work.
struct removal
{
    const event* m_change = nullptr;
    std::int64_t m_from_us = 0;
    std::int64_t m_until_us = never_us;
};

using removals = std::map<std::string, std::vector<removal>>;
using name_list = std::vector<std::string> service_changes::*;

/// First time at which any node installed `revision` or a newer one. Nodes use a revision, also one
/// that returns a zone or server to service, before its acceptance is logged.
std::int64_t first_installed_us(const history& events, revision_number revision)
{
    for (const auto& line : events.m_events) {
        if (line.m_kind == event_kind::revision_installed && line.m_revision >= revision)
            return line.m_time_us;
    }
    return never_us;
}

void add_removals(const event& change, const std::vector<std::string>& names,
                  std::int64_t grace_period_us, removals& into)
{
    for (const auto& name : names) {
        auto& of_name = into[name];
        if (of_name.empty() || of_name.back().m_until_us != never_us)
            of_name.push_back({&change, change.m_time_us + grace_period_us, never_us});
    }
}

void end_removals(const rule_input& input, const event& change,
                  const std::vector<std::string>& names, removals& into)
{
    for (const auto& name : names) {
        auto& of_name = into[name];
        if (of_name.empty() || of_name.back().m_until_us != never_us)
            continue;
        of_name.back().m_until_us =
            std::min(change.m_time_us, first_installed_us(input.m_history, change.m_revision));
    }
}

removals find_removals(const rule_input& input, name_list removed, name_list returned)
{
    removals result;
    const auto grace_period_us = input.m_options.m_removal_grace_period.count();
    for (const auto* change : accepted_changes(input.m_history)) {
        end_removals(input, *change, (*change->m_changes).*returned, result);
        add_removals(*change, (*change->m_changes).*removed, grace_period_us, result);
    }
    return result;
}

/// Removal in effect for `name` at `time_us`; null when `name` was in service.
const removal* removal_at(const removals& all, const std::string& name, std::int64_t time_us)
{
    const auto of_name = all.find(name);
    if (of_name == all.end())
        return nullptr;
    for (const auto& one : of_name->second) {
        if (time_us > one.m_from_us && time_us < one.m_until_us)
            return &one;
    }
    return nullptr;
}

/// Zone of each server, from its own lines or else from the node that dispatches to it.
std::map<std::string, std::string> zones_of_servers(const history& events)
{
    std::map<std::string, std::string> zones_by_server;
    std::map<std::string, std::string> of_nodes;
    std::map<std::string, std::string> dispatching_nodes;
    for (const auto& line : events.m_events) {
        if (!line.m_server.empty() && !line.m_zone.empty())
            zones_by_server[line.m_server] = line.m_zone;
        else if (!line.m_node.empty() && !line.m_zone.empty())
            of_nodes[line.m_node] = line.m_zone;
        if (line.m_kind == event_kind::request_dispatched)
            dispatching_nodes[line.m_server] = line.m_node;
    }
    for (const auto& [server, node] : dispatching_nodes)
        zones_by_server.emplace(server, of_nodes[node]);
    return zones_by_server;
}

void report_repeated_execution(rule violated_rule, const std::string& what, const event* first,
                               const event& second, violation_collector& violations)
{
    violations.add(violated_rule,
                   what + " was executed more than once: at " + first->m_server + " and at " +
                       second.m_server,
                   {first, &second});
}

void report_work_after_removal(rule violated_rule, const char* scope, const removal& removed,
                               const event& start, duration limit, violation_collector& violations)
{
    violations.add(violated_rule,
                   "server " + start.m_server + " received work more than " +
                       std::to_string(to_ms(limit)) + " ms after " + scope +
                       " was taken out of service",
                   {removed.m_change, &start});
}

} // namespace

void check_at_most_once(const rule_input& input, violation_collector& violations)
{
    for (const auto& one : input.m_executions) {
        const auto& start = *one.m_start;
        if (is_idempotent_method(start.m_method))
            continue;
        const auto* by_request = input.m_index.by_request(start.m_request_id);
        if (by_request != &start) {
            report_repeated_execution(rule::at_most_once,
                                      "non-idempotent request " + start.m_request_id, by_request,
                                      start, violations);
            continue;
        }
        if (start.m_idempotency_key.empty())
            continue;
        const auto* by_key =
            input.m_index.by_idempotency_key({start.m_service, start.m_idempotency_key});
        if (by_key != &start) {
            report_repeated_execution(rule::at_most_once,
                                      "idempotency key " + start.m_idempotency_key +
                                          " of service " + start.m_service,
                                      by_key, start, violations);
        }
    }
}

void check_cold_bound(const rule_input& input, violation_collector& violations)
{
    for (const auto& one : input.m_executions) {
        const auto& start = *one.m_start;
        if (start.m_concurrency_limit && start.m_in_flight > *start.m_concurrency_limit) {
            violations.add(rule::cold_bound,
                           "server " + start.m_server + " had " +
                               std::to_string(start.m_in_flight) +
                               " requests in flight; its limit is " +
                               std::to_string(*start.m_concurrency_limit),
                           {&start});
        }
    }
}

void check_removals(const rule_input& input, violation_collector& violations)
{
    const auto zones =
        find_removals(input, &service_changes::m_removed_zones, &service_changes::m_returned_zones);
    const auto servers = find_removals(input, &service_changes::m_removed_servers,
                                       &service_changes::m_returned_servers);
    const auto zone_of = zones_of_servers(input.m_history);
    const auto limit = input.m_options.m_removal_grace_period;
    for (const auto& one : input.m_executions) {
        const auto& start = *one.m_start;
        const auto known = zone_of.find(start.m_server);
        const auto zone = known == zone_of.end() ? std::string() : known->second;
        if (const auto* removed = removal_at(zones, zone, start.m_time_us))
            report_work_after_removal(rule::removed_zone, "its zone", *removed, start, limit,
                                      violations);
        if (const auto* removed = removal_at(servers, start.m_server, start.m_time_us))
            report_work_after_removal(rule::removed_server, "it", *removed, start, limit,
                                      violations);
    }
}

} // namespace azureladder::audit
