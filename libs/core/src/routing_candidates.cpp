#include "routing_internal.hpp"
#include "selection.hpp"

#include <algorithm>

/// Upstreams of services that are not divided by key, from the directory and the configuration
/// records.
namespace azureladder::core {

namespace {

bool can_serve(const records::document& document, const records::service_record& service,
               const plan& value)
{
    const auto& zones = service.m_zones;
    const bool zone_allowed =
        zones.empty() || std::find(zones.begin(), zones.end(), value.m_zone) != zones.end();
    return value.m_service == service.m_name && zone_allowed &&
           records::zone_in_service(document, value.m_zone) &&
           records::server_in_service(document, value.m_server);
}

/// Removes measurements of members that are no longer upstreams and have no requests in flight.
void drop_stale_upstream_stats(service_stats& stats)
{
    for (auto found = stats.m_upstreams.begin(); found != stats.m_upstreams.end();) {
        const auto is_same = [&](const auto& candidate) {
            return candidate.m_member == found->first;
        };
        const bool listed =
            std::any_of(stats.m_candidates.begin(), stats.m_candidates.end(), is_same);
        found = listed || found->second.m_in_flight > 0 ? std::next(found)
                                                        : stats.m_upstreams.erase(found);
    }
}

candidate_list_version current_candidate_list_version(const node_state& state)
{
    return {state.m_directory.m_digest, state.m_configuration.m_document.m_revision,
            state.m_incarnation};
}

void rebuild_candidates(const node_state& state, service_stats& stats,
                        const records::service_record& service)
{
    stats.m_candidates.clear();
    for (const auto* value : newest_plans(state.m_directory)) {
        const bool is_former_incarnation =
            value->m_member.m_node == state.m_identity.m_node && value->m_member != self(state);
        if (is_former_incarnation || !can_serve(state.m_configuration.m_document, service, *value))
            continue;
        stats.m_candidates.push_back(
            {value->m_member, value->m_peer_address, value->m_zone == state.m_identity.m_zone});
    }
    stats.m_candidates_version = current_candidate_list_version(state);
    drop_stale_upstream_stats(stats);
}

upstream_candidate make_upstream_choice(routing_context& context, const service_stats& stats,
                                        const upstream_address& candidate)
{
    const auto& state = context.m_state;
    upstream_candidate choice;
    choice.m_local_zone = candidate.m_local_zone;
    const auto found = stats.m_upstreams.find(candidate.m_member);
    const upstream_stats known =
        found == stats.m_upstreams.end() ? upstream_stats{} : found->second;
    choice.m_in_flight = known.m_in_flight;
    choice.m_limit = known.m_window;
    choice.m_latency_us = effective_latency_us(known);
    choice.m_reported_load = known.m_reported_load;
    choice.m_avoided = known.m_ejected || context.m_now < known.m_avoid_until ||
                       (known.m_half_open && known.m_in_flight > 0);
    if (candidate.m_member == self(state)) {
        // This node's queue and limit are exact and include the requests of other entry nodes.
        const auto& routing = state.m_routing;
        choice.m_in_flight =
            routing.m_limit.m_in_flight + static_cast<std::uint32_t>(queue_length(routing.m_queue));
        choice.m_limit = current_limit(routing.m_limit);
    }
    return choice;
}

bool is_eligible(const routing_context& context, const open_request& request,
                 const upstream_address& candidate, bool allow_attempted)
{
    const auto& attempted = request.m_attempted_nodes;
    const bool was_attempted =
        std::find(attempted.begin(), attempted.end(), candidate.m_member.m_node) != attempted.end();
    if (was_attempted && !allow_attempted)
        return false;
    return candidate.m_member != self(context.m_state) ||
           !local_refusal_reason(context, request, true);
}

} // namespace

const std::vector<upstream_address>& candidates_for(routing_context& context,
                                                    const std::string& service)
{
    auto& stats = stats_of(context.m_state, service);
    const auto* record = records::find_service(context.m_state.m_configuration.m_document, service);
    if (record == nullptr)
        stats.m_candidates.clear();
    else if (stats.m_candidates_version != current_candidate_list_version(context.m_state))
        rebuild_candidates(context.m_state, stats, *record);
    return stats.m_candidates;
}

const upstream_address* choose_upstream(routing_context& context, const open_request& request,
                                        bool allow_attempted)
{
    const auto& service = request.m_info.m_service;
    std::vector<const upstream_address*> eligible;
    for (const auto& candidate : candidates_for(context, service)) {
        if (is_eligible(context, request, candidate, allow_attempted))
            eligible.push_back(&candidate);
    }
    auto& stats = stats_of(context.m_state, service);
    std::vector<upstream_candidate> choices;
    choices.reserve(eligible.size());
    for (const auto* candidate : eligible)
        choices.push_back(make_upstream_choice(context, stats, *candidate));
    const auto* record = records::find_service(context.m_state.m_configuration.m_document, service);
    const auto policy =
        record == nullptr ? records::selection_policy::two_choices : record->m_policy;
    const auto chosen =
        select_upstream(policy, choices, context.m_state.m_random, stats.m_round_robin);
    return chosen ? eligible[*chosen] : nullptr;
}

} // namespace azureladder::core
