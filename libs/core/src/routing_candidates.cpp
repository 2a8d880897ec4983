#include "routing_internal.hpp"
#include "selection.hpp"

#include <algorithm>

/// Upstreams of services that are not divided by key, from the directory and the configuration
/// records.
namespace azureladder::core {

namespace {

bool may_run(const records::document& document, const records::service_record& service,
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
void drop_old_measures(service_measure& measure)
{
    for (auto found = measure.m_upstreams.begin(); found != measure.m_upstreams.end();) {
        const auto is_same = [&](const auto& candidate) {
            return candidate.m_member == found->first;
        };
        const bool listed =
            std::any_of(measure.m_candidates.begin(), measure.m_candidates.end(), is_same);
        found = listed || found->second.m_in_flight > 0 ? std::next(found)
                                                        : measure.m_upstreams.erase(found);
    }
}

candidate_basis basis_of(const node_state& state)
{
    return {state.m_directory.m_digest, state.m_configuration.m_document.m_revision,
            state.m_incarnation};
}

void rebuild_candidates(const node_state& state, service_measure& measure,
                        const records::service_record& service)
{
    measure.m_candidates.clear();
    for (const auto* value : newest_plans(state.m_directory)) {
        const bool former_self =
            value->m_member.m_node == state.m_identity.m_node && value->m_member != self(state);
        if (former_self || !may_run(state.m_configuration.m_document, service, *value))
            continue;
        measure.m_candidates.push_back(
            {value->m_member, value->m_peer_address, value->m_zone == state.m_identity.m_zone});
    }
    measure.m_candidates_from = basis_of(state);
    drop_old_measures(measure);
}

upstream_choice describe(routing_step& step, const service_measure& measure,
                         const upstream_address& candidate)
{
    const auto& state = step.m_state;
    upstream_choice choice;
    choice.m_local_zone = candidate.m_local_zone;
    const auto found = measure.m_upstreams.find(candidate.m_member);
    const upstream_measure known =
        found == measure.m_upstreams.end() ? upstream_measure{} : found->second;
    choice.m_in_flight = known.m_in_flight;
    choice.m_limit = known.m_window;
    choice.m_latency_us = effective_latency_us(known);
    choice.m_reported_load = known.m_reported_load;
    choice.m_avoided = known.m_ejected || step.m_now < known.m_avoid_until ||
                       (known.m_on_probation && known.m_in_flight > 0);
    if (candidate.m_member == self(state)) {
        // This node's queue and limit are exact and include the requests of other entry nodes.
        const auto& routing = state.m_routing;
        choice.m_in_flight =
            routing.m_limit.m_in_flight + static_cast<std::uint32_t>(queue_length(routing.m_queue));
        choice.m_limit = current_limit(routing.m_limit);
    }
    return choice;
}

bool is_eligible(const routing_step& step, const open_request& request,
                 const upstream_address& candidate, bool allow_tried)
{
    const auto& tried = request.m_tried;
    const bool was_tried =
        std::find(tried.begin(), tried.end(), candidate.m_member.m_node) != tried.end();
    if (was_tried && !allow_tried)
        return false;
    return candidate.m_member != self(step.m_state) || !local_refusal(step, request, true);
}

} // namespace

const std::vector<upstream_address>& candidates_for(routing_step& step, const std::string& service)
{
    auto& measure = measure_of(step.m_state, service);
    const auto* record = records::find_service(step.m_state.m_configuration.m_document, service);
    if (record == nullptr)
        measure.m_candidates.clear();
    else if (measure.m_candidates_from != basis_of(step.m_state))
        rebuild_candidates(step.m_state, measure, *record);
    return measure.m_candidates;
}

const upstream_address* choose_upstream(routing_step& step, const open_request& request,
                                        bool allow_tried)
{
    const auto& service = request.m_info.m_service;
    std::vector<const upstream_address*> eligible;
    for (const auto& candidate : candidates_for(step, service)) {
        if (is_eligible(step, request, candidate, allow_tried))
            eligible.push_back(&candidate);
    }
    auto& measure = measure_of(step.m_state, service);
    std::vector<upstream_choice> choices;
    choices.reserve(eligible.size());
    for (const auto* candidate : eligible)
        choices.push_back(describe(step, measure, *candidate));
    const auto* record = records::find_service(step.m_state.m_configuration.m_document, service);
    const auto policy =
        record == nullptr ? records::selection_policy::two_choices : record->m_policy;
    const auto chosen =
        select_upstream(policy, choices, step.m_state.m_random, measure.m_round_robin);
    return chosen ? eligible[*chosen] : nullptr;
}

} // namespace azureladder::core
