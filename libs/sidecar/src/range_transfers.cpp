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

/// Largest share of a server's load that is transferred in one balancing step.
constexpr double max_transferred_share = 0.5;

/// Largest number of simultaneous transfers from one node. Skewed traffic may start within a second
/// on a table that was divided evenly.
constexpr std::size_t max_concurrent_transfers = 6;

/// A target is chosen with a probability of one in this number, so that several busy nodes do not
/// choose the same one.
constexpr std::uint64_t target_choice_divisor = 2;

/// Bounds of the load of a transferred part, as a share of the wanted load.
constexpr double min_part_share = 0.6;
constexpr double max_part_share = 1.4;

/// Time for which a backend server may be unavailable before its ranges are transferred. Restarts
/// of a server and short interruptions end sooner.
constexpr duration unavailable_grace_period = milliseconds(700);

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

/// Other members that may own ranges and their utilization, in ascending order of it.
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

/// Mean utilization of all members that may own ranges, this node included.
double mean_utilization(const std::vector<std::pair<std::string, double>>& others,
                        double own_utilization)
{
    double sum = own_utilization;
    for (const auto& [node, utilization] : others)
        sum += utilization;
    return sum / static_cast<double>(others.size() + 1);
}

/// Starts the transfer of the narrowest part that received about `wanted` of the counted requests.
/// Returns whether there is such a part.
bool transfer_part(step_context& context, const key_ranges::range_table& table, double wanted,
                   const std::string& target)
{
    const key_ownership& keys = context.m_state.m_ownership;
    const key_ranges::range_entry* best_entry = nullptr;
    std::optional<key_ranges::key_subrange> best;
    for (const auto& [from, lease] : keys.m_leases) {
        const auto part = key_ranges::find_narrowest_subrange(
            keys.m_load, from, lease.m_to, wanted * min_part_share, wanted * max_part_share);
        if (!part || (best && part->m_to - part->m_from >= best->m_to - best->m_from))
            continue;
        best = part;
        best_entry = key_ranges::find_range(table, from);
    }
    if (!best || best_entry == nullptr)
        return false;
    begin_transfer(context, *best_entry, best->m_from, best->m_to, target, "balance");
    // Removes the part from the leases, so that the next call selects a different part.
    check_range_leases(context);
    return true;
}

/// Transfers the narrowest parts that bring the utilization of this node and of the least utilized
/// members closer to the mean.
void balance(step_context& context, const key_ranges::range_table& table)
{
    node_state& state = context.m_state;
    const auto targets = transfer_targets(state, context.m_now);
    const double utilization = key_utilization(state, context.m_now);
    if (targets.empty() || utilization <= 0.0)
        return;
    const double mean = mean_utilization(targets, utilization);
    double total = 0.0;
    for (const auto& [from, lease] : state.m_ownership.m_leases)
        total += key_ranges::load_between(state.m_ownership.m_load, from, lease.m_to);
    double excess = utilization - mean;
    std::size_t transfers = 0;
    for (const auto& [target, target_utilization] : targets) {
        peer_state& peer = state.m_peers.at(target);
        const bool owns_nothing = !peer.m_status.m_owns_keys && utilization > mean;
        const bool uneven = utilization >= state.m_options.m_balance_min_utilization &&
                            utilization - target_utilization >= state.m_options.m_balance_threshold;
        const double given =
            std::min({excess, mean - target_utilization, utilization * max_transferred_share});
        if ((!uneven && !owns_nothing) || given <= 0.0 || total <= 0.0 ||
            transfers == max_concurrent_transfers)
            return;
        if (state.m_random() % target_choice_divisor != 0)
            continue;
        if (!transfer_part(context, table, total * given / utilization, target))
            continue;
        // Counts the transferred load at once, because the peer reports its utilization later.
        peer.m_status.m_key_utilization += given;
        peer.m_status.m_owns_keys = true;
        excess -= given;
        ++transfers;
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

bool must_release_all_ranges(const node_state& state, time_point now)
{
    if (state.m_stopping)
        return true;
    if (!state.m_backend)
        return now - state.m_started_at > unavailable_grace_period * 4;
    if (state.m_backend->m_silent)
        return now - state.m_backend->m_silent_since > unavailable_grace_period;
    if (state.m_backend->m_unreachable)
        return now - state.m_backend->m_unreachable_since > unavailable_grace_period;
    return state.m_backend->m_leaving ||
           state.m_active_configuration.m_evacuated_zones.count(state.m_options.m_zone) != 0;
}

double key_utilization(const node_state& state, time_point now)
{
    if (!state.m_backend || state.m_admission_controller.m_limit == 0)
        return 0.0;
    const auto report = routing::make_load_report(state.m_admission_controller, true, now,
                                                  state.m_options.m_admission_options);
    const double seconds_each = std::chrono::duration<double>(report.m_service_time).count();
    const double interval =
        std::chrono::duration<double>(state.m_options.m_balance_interval).count();
    // The decaying count converges to rate * interval / (1 - m_load_decay).
    const double rate =
        state.m_ownership.m_arrival_count * (1.0 - state.m_options.m_load_decay) / interval;
    return rate * seconds_each / state.m_admission_controller.m_limit;
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
    if (keys.m_transfers.empty() && !keys.m_writing)
        balance(context, table);
}

} // namespace azureladder::sidecar
