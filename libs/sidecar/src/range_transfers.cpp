#include "range_balance.hpp"
#include "step_context.hpp"

#include <azureladder/key_ranges/fencing_token.hpp>
#include <azureladder/key_ranges/key_load.hpp>
#include <azureladder/key_ranges/lease_rules.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Timeout after which a release is sent again.
constexpr duration release_resend_timeout = milliseconds(700);

/// Time for which a release waits for the responses to grants of its keys.
constexpr duration pending_grant_timeout = milliseconds(400);

/// Time for which a backend server may be unavailable before its ranges are transferred. Restarts
/// of a server and short interruptions end sooner.
constexpr duration unavailable_grace_period = milliseconds(700);

void send_release(step_context& context, range_transfer& transfer)
{
    node_state& state = context.m_state;
    transfer.m_command_id = state.m_next_command_id++;
    transfer.m_command_sent_at = context.m_now;
    key_ranges::mark_unanswered_grants_released(state.m_ownership.m_grants, transfer.m_from,
                                                transfer.m_to);
    const grant_connection& grants = state.m_ownership.m_connection;
    emit(context,
         release_keys{transfer.m_command_id,
                      grants.m_address.empty() ? state.m_backend->m_announcement.m_address
                                               : grants.m_address,
                      transfer.m_from, transfer.m_to,
                      key_ranges::fencing_token(transfer.m_fencing_token, grants.m_number)});
}

void transfer_all_ranges(step_context& context, const key_ranges::range_table& table)
{
    const auto targets = transfer_targets(context.m_state, context.m_now);
    if (targets.empty())
        return;
    std::size_t next = 0;
    for (const auto& entry : table.m_entries) {
        if (entry.m_owner != context.m_state.m_options.m_node ||
            entry.m_state != key_ranges::range_state::active)
            continue;
        begin_transfer(context, entry, entry.m_from, entry.m_to,
                       targets[next++ % targets.size()].first, "node releases all its ranges");
    }
}

/// Removes the transfers whose range has a new fencing token or owner: they are complete or
/// superseded.
void remove_finished_transfers(step_context& context, const key_ranges::range_table& table)
{
    auto& transfers = context.m_state.m_ownership.m_transfers;
    const auto is_obsolete = [&](const range_transfer& transfer) {
        const auto* entry = key_ranges::find_range(table, transfer.m_from);
        return entry == nullptr || entry->m_fencing_token != transfer.m_fencing_token ||
               entry->m_owner != context.m_state.m_options.m_node;
    };
    transfers.erase(std::remove_if(transfers.begin(), transfers.end(), is_obsolete),
                    transfers.end());
}

void advance_transfers(step_context& context)
{
    node_state& state = context.m_state;
    const auto& options = state.m_options.m_leases;
    key_ownership& keys = state.m_ownership;
    for (auto& transfer : keys.m_transfers) {
        if (transfer.m_released)
            continue;
        if (!key_ranges::may_be_leased(keys.m_grants, transfer.m_from, transfer.m_to, context.m_now,
                                       options)) {
            transfer.m_released = true;
            log(context, log_level::info, "hold_ended",
                {{"from", transfer.m_from},
                 {"to", transfer.m_to},
                 {"fence", transfer.m_fencing_token}});
            continue;
        }
        // A grant that the server executes after the release would grant it the keys again.
        if (key_ranges::has_unanswered_grant_since(keys.m_grants, transfer.m_from, transfer.m_to,
                                                   context.m_now - pending_grant_timeout))
            continue;
        const bool waiting = transfer.m_command_id != 0 &&
                             context.m_now - transfer.m_command_sent_at < release_resend_timeout;
        if (!waiting && state.m_backend && !state.m_backend->m_unreachable)
            send_release(context, transfer);
    }
}

} // namespace

void begin_transfer(step_context& context, const key_ranges::range_entry& entry, std::uint32_t from,
                    std::uint32_t to, const std::string& target, const char* reason)
{
    key_ownership& keys = context.m_state.m_ownership;
    range_transfer transfer;
    transfer.m_from = from;
    transfer.m_to = to;
    transfer.m_fencing_token = entry.m_fencing_token;
    transfer.m_target = target;
    log(context, log_level::info, "keys_moving",
        {{"from", from},
         {"to", to},
         {"fence", transfer.m_fencing_token},
         {"target", target},
         {"hold_ends_ms", to_ms(std::max(duration::zero(), key_ranges::latest_lease_end(
                                                               keys.m_grants, from, to,
                                                               context.m_state.m_options.m_leases) -
                                                               context.m_now))},
         {"reason", reason}});
    keys.m_transfers.push_back(std::move(transfer));
}

std::vector<std::pair<std::string, double>> transfer_targets(const node_state& state,
                                                             time_point now)
{
    std::vector<std::pair<std::string, double>> result;
    for (const auto& [node, incarnation] :
         eligible_owners(state, local_keyed_service(state), now)) {
        const auto peer = state.m_peers.find(node);
        if (peer != state.m_peers.end())
            result.emplace_back(node, peer->second.m_status.m_key_utilization);
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.second < b.second; });
    return result;
}

bool must_release_all_ranges(const node_state& state, time_point now)
{
    if (state.m_stopping)
        return true;
    if (!state.m_backend)
        return now - state.m_started_at > unavailable_grace_period * 4;
    if (!is_in_use(*state.m_backend))
        return now - state.m_backend->m_unused_since > unavailable_grace_period;
    if (state.m_backend->m_unreachable)
        return now - state.m_backend->m_unreachable_since > unavailable_grace_period;
    return state.m_backend->m_leaving ||
           state.m_active_configuration.m_evacuated_zones.count(state.m_options.m_zone) != 0;
}

void check_range_transfers(step_context& context)
{
    node_state& state = context.m_state;
    key_ownership& keys = state.m_ownership;
    const auto found = state.m_tables.find(local_keyed_service(state));
    if (found == state.m_tables.end())
        return;
    const key_ranges::range_table& table = found->second.m_table;
    remove_finished_transfers(context, table);
    advance_transfers(context);
    if (must_release_all_ranges(state, context.m_now)) {
        if (keys.m_transfers.empty())
            transfer_all_ranges(context, table);
        return;
    }
    if (context.m_now < keys.m_next_balance_at)
        return;
    keys.m_next_balance_at = context.m_now + state.m_options.m_balance_interval;
    key_ranges::decay_counts(keys.m_load, state.m_options.m_load_decay);
    keys.m_arrival_count *= state.m_options.m_load_decay;
    key_ranges::end_interval(
        keys.m_owner_load,
        std::chrono::duration<double>(state.m_options.m_balance_interval).count(),
        state.m_options.m_execution_decay, state.m_options.m_arrival_decay);
    if (keys.m_transfers.empty() && !keys.m_writing)
        balance(context, table);
}

} // namespace azureladder::sidecar
