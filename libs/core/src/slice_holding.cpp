#include "ownership_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/records/document.hpp>

#include <algorithm>
#include <map>

namespace azureladder::core {

namespace {

void start_serving(node_state& state, const slice_id& slice, held_slice& held, effects& output)
{
    held.m_start_logged = true;
    log_event(output, log_level::info, "ownership_started",
              slice_fields(slice, held.m_epoch, held.m_reason));
    if (state.m_backend && state.m_backend->m_fencing == fencing::checked &&
        slice.m_space != claim_space)
        output.push_back(set_backend_grant{{slice, held.m_epoch}, false});
}

void end_serving(node_state& state, const slice_id& slice, held_slice& held, json fields,
                 effects& output)
{
    if (!held.m_start_logged)
        return;
    held.m_start_logged = false;
    log_event(output, log_level::info, "ownership_ended", std::move(fields));
    if (state.m_backend && state.m_backend->m_fencing == fencing::checked &&
        slice.m_space != claim_space)
        output.push_back(set_backend_grant{{slice, held.m_epoch}, true});
}

bool is_servable(const held_slice& held, time_point now)
{
    const bool served = held.m_phase == slice_phase::serving || held.m_phase == slice_phase::moving;
    return served && held.m_allowed && now >= held.m_serve_from;
}

/// Log fields for the end of an ownership. A paused process logs it long after its lease expired,
/// so the fields include the time of the expiry.
json end_fields(const node_state& state, const slice_id& slice, const held_slice& held, bool lease)
{
    if (lease) {
        const auto& reason = held.m_allowed ? held.m_handoff_reason : "not_allowed";
        return slice_fields(slice, held.m_epoch, reason);
    }
    auto fields = slice_fields(slice, held.m_epoch, "lease_expired");
    // A new plan version can give the lease an earlier end than the version under which it was in
    // force.
    const auto end = std::max(lease_end(state), state.m_ownership.m_serving_checked_at);
    fields["effective_mono_us"] = to_us(end);
    return fields;
}

/// Resends the grants after a restart of the backend server, which loses its lease and grants.
void handle_backend_restart(node_state& state, effects& output)
{
    auto& own = state.m_ownership;
    if (!state.m_backend || state.m_backend->m_start_id == own.m_backend_start_id)
        return;
    own.m_backend_start_id = state.m_backend->m_start_id;
    own.m_backend_lease_until = time_point{};
    if (state.m_backend->m_fencing != fencing::checked)
        return;
    for (const auto& [slice, held] : own.m_slices) {
        if (held.m_start_logged && slice.m_space != claim_space)
            output.push_back(set_backend_grant{{slice, held.m_epoch}, false});
    }
}

} // namespace

bool is_node_out_of_service(const node_state& state)
{
    const auto& document = state.m_configuration.m_document;
    const auto server =
        state.m_backend ? state.m_backend->m_server : state.m_ownership.m_plan.m_server;
    return !records::zone_in_service(document, state.m_identity.m_zone) ||
           !records::server_in_service(document, server);
}

bool is_backend_leaving(const node_state& state, time_point now)
{
    if (!state.m_backend)
        return false;
    return state.m_backend->m_draining ||
           now >= state.m_backend_announced_at + state.m_options.m_backend_loss_timeout;
}

bool allowed_by_records(const node_state& state, const slice_id& slice)
{
    if (slice.m_space == claim_space)
        return !is_node_out_of_service(state);
    if (!state.m_backend)
        return false;
    return service_of_space(slice.m_space) == state.m_backend->m_service &&
           records::is_eligible_owner(state.m_configuration.m_document, slice.m_space,
                                      state.m_backend->m_service, state.m_backend->m_server,
                                      state.m_identity.m_zone);
}

duration former_execution_wait(const node_state& state, const slice_id& slice, const plan* former)
{
    // Claims are kept in the owner's memory: no backend server executes requests for their slices.
    if (slice.m_space == claim_space)
        return duration(0);
    if (former != nullptr && former->m_checks_fencing)
        return duration(0);
    const auto* service =
        records::find_service(state.m_configuration.m_document, service_of_space(slice.m_space));
    const auto execution = service == nullptr ? duration(0) : service->m_max_execution;
    return execution + state.m_options.m_max_send_delay;
}

void hold_slice(node_state& state, time_point now, const owned_slice& owned, held_slice held)
{
    held.m_epoch = owned.m_epoch;
    held.m_phase = slice_phase::serving;
    held.m_phase_since = now;
    held.m_allowed = allowed_by_records(state, owned.m_slice);
    state.m_ownership.m_slices[owned.m_slice] = std::move(held);
}

void drop_slice(node_state& state, const slice_id& slice, const std::string& reason,
                effects& output)
{
    auto& own = state.m_ownership;
    const auto found = own.m_slices.find(slice);
    if (found == own.m_slices.end())
        return;
    end_serving(state, slice, found->second, slice_fields(slice, found->second.m_epoch, reason),
                output);
    own.m_slices.erase(found);
    own.m_slice_table_changes.erase(slice);
}

void update_serving(node_state& state, time_point now, effects& output)
{
    handle_backend_restart(state, output);
    const bool lease = holds_lease(state, now);
    std::map<std::string, bool> allowed; // by space, to look each one up once
    for (auto& [slice, held] : state.m_ownership.m_slices) {
        auto known = allowed.find(slice.m_space);
        if (known == allowed.end())
            known = allowed.emplace(slice.m_space, allowed_by_records(state, slice)).first;
        held.m_allowed = known->second;
        const bool serves = lease && is_servable(held, now);
        if (serves && !held.m_start_logged)
            start_serving(state, slice, held, output);
        else if (!serves && held.m_start_logged)
            end_serving(state, slice, held, end_fields(state, slice, held, lease), output);
    }
    state.m_ownership.m_serving_checked_at = lease ? now : time_point{};
}

void end_serving_after_lease(node_state& state, time_point now, effects& output)
{
    if (state.m_ownership.m_serving_checked_at != time_point{} && !holds_lease(state, now))
        update_serving(state, now, output);
}

std::optional<epoch_number> serving_epoch(const node_state& state, const slice_id& slice,
                                          time_point now)
{
    const auto found = state.m_ownership.m_slices.find(slice);
    if (found == state.m_ownership.m_slices.end() || !is_servable(found->second, now) ||
        !holds_lease(state, now))
        return std::nullopt;
    return found->second.m_epoch;
}

} // namespace azureladder::core
