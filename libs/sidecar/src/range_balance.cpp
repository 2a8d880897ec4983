#include "range_balance.hpp"
#include "step_context.hpp"

#include <azureladder/key_ranges/key_load.hpp>
#include <azureladder/key_ranges/key_placement.hpp>

#include <algorithm>
#include <optional>

namespace azureladder::sidecar {

namespace {

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

/// Largest number of simultaneous transfers that place keys by speed. Adjacent hot keys have to be
/// spread over a dozen servers at once, before their queue exceeds the target.
constexpr std::size_t max_placement_transfers = 12;

/// Share of failed executions above which a member takes no keys, however fast its responses are.
constexpr double max_taker_failure_share = 0.25;

/// Starts the transfer of a part that received about `wanted` of the counted requests, and whose
/// transfer adds the fewest ranges to the table. If `may_split` is false, it is a whole range.
bool transfer_outer_part(step_context& context, const key_ranges::range_table& table, double wanted,
                         const std::string& target, bool may_split)
{
    const key_ownership& keys = context.m_state.m_ownership;
    const key_ranges::range_entry* best_entry = nullptr;
    std::optional<key_ranges::key_subrange> best;
    bool best_is_whole = false;
    for (const auto& [from, lease] : keys.m_leases) {
        const auto part = key_ranges::find_outer_subrange(
            keys.m_load, from, lease.m_to, wanted * min_part_share, wanted * max_part_share);
        const bool is_whole = part && part->m_from == from && part->m_to == lease.m_to;
        if (!part || best_is_whole || (!is_whole && (best || !may_split)))
            continue;
        best = part;
        best_is_whole = is_whole;
        best_entry = key_ranges::find_range(table, from);
    }
    if (!best || best_entry == nullptr)
        return false;
    begin_transfer(context, *best_entry, best->m_from, best->m_to, target, "speed");
    check_range_leases(context);
    return true;
}

/// Sum of the counted requests for the keys of this node.
double counted_requests(const key_ownership& keys)
{
    double total = 0.0;
    for (const auto& [from, lease] : keys.m_leases)
        total += key_ranges::load_between(keys.m_load, from, lease.m_to);
    return total;
}

/// Starts this node's part of the moves from servers on which requests miss their targets to those
/// on which they would meet them. Returns whether there are any.
bool place_by_speed(step_context& context, const key_ranges::range_table& table)
{
    node_state& state = context.m_state;
    key_ownership& keys = state.m_ownership;
    const key_ranges::owner_report own = owner_report(state);
    if (own.m_latency <= 0.0 || context.m_now < keys.m_next_placement_at)
        return false;
    const auto members = eligible_owners(state, local_keyed_service(state), context.m_now);
    std::vector<key_ranges::placement_owner> owners;
    owners.reserve(members.size());
    for (const auto& [node, incarnation] : members) {
        const auto peer = state.m_peers.find(node);
        if (node == state.m_options.m_node)
            owners.push_back({node, own});
        else if (peer != state.m_peers.end() &&
                 peer->second.m_status.m_report.m_failure_share < max_taker_failure_share)
            owners.push_back({node, peer->second.m_status.m_owner_report});
    }
    const bool may_split =
        table.m_entries.size() < std::max(state.m_options.m_max_ranges,
                                          state.m_options.m_max_ranges_per_owner * owners.size());
    const double total = counted_requests(keys);
    std::size_t transfers = 0;
    for (const auto& move : key_ranges::plan_key_moves(owners, state.m_options.m_node,
                                                       state.m_options.m_key_placement)) {
        if (transfers < max_placement_transfers &&
            transfer_outer_part(context, table, total * move.m_share, move.m_target, may_split))
            ++transfers;
    }
    if (transfers == 0)
        return false;
    keys.m_next_placement_at =
        context.m_now + (own.m_utilization >= 1.0 ? state.m_options.m_overload_settle_time
                                                  : state.m_options.m_placement_settle_time);
    log(context, log_level::info, "keys_placed",
        {{"utilization", own.m_utilization},
         {"latency", own.m_latency},
         {"transfers", transfers},
         {"ranges", table.m_entries.size()}});
    return true;
}

/// Whether requests would cost nearly as much on a member as they do here, because its server is
/// slower. False if the speed of one of both is unknown.
bool is_as_costly(const node_status& status, double own_latency, double own_utilization,
                  const key_ranges::key_placement_options& options)
{
    const double latency = status.m_owner_report.m_latency;
    return own_latency > 0.0 && latency > 0.0 &&
           key_ranges::request_cost(latency, status.m_key_utilization) * options.m_giver_ratio >
               key_ranges::request_cost(own_latency, own_utilization);
}

} // namespace

void balance(step_context& context, const key_ranges::range_table& table)
{
    if (place_by_speed(context, table))
        return;
    node_state& state = context.m_state;
    const bool is_settled = context.m_now >= state.m_ownership.m_next_placement_at;
    const auto targets = transfer_targets(state, context.m_now);
    const double utilization = key_utilization(state, context.m_now);
    if (targets.empty() || utilization <= 0.0)
        return;
    const double mean = mean_utilization(targets, utilization);
    const double total = counted_requests(state.m_ownership);
    const double own_latency = owner_report(state).m_latency;
    double excess = utilization - mean;
    std::size_t transfers = 0;
    for (const auto& [target, target_utilization] : targets) {
        peer_state& peer = state.m_peers.at(target);
        const bool owns_nothing = !peer.m_status.m_owns_keys && utilization > mean;
        const bool uneven = (is_settled || utilization >= 1.0) &&
                            utilization >= state.m_options.m_balance_min_utilization &&
                            utilization - target_utilization >= state.m_options.m_balance_threshold;
        const double given =
            std::min({excess, mean - target_utilization, utilization * max_transferred_share});
        if ((!uneven && !owns_nothing) || given <= 0.0 || total <= 0.0 ||
            transfers == max_concurrent_transfers)
            return;
        if (state.m_random() % target_choice_divisor != 0 ||
            is_as_costly(peer.m_status, own_latency, utilization, state.m_options.m_key_placement))
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

key_ranges::owner_report owner_report(const node_state& state)
{
    if (!state.m_options.m_places_keys_by_speed)
        return {};
    const auto& admission = state.m_admission_controller;
    const key_ownership& keys = state.m_ownership;
    auto report = key_ranges::make_owner_report(keys.m_owner_load, admission.m_limit,
                                                admission.m_cold_rate_per_s,
                                                state.m_options.m_min_owner_executions);
    // Excludes requests for keys that were transferred a moment ago. Otherwise an overloaded owner
    // would give away the same load twice.
    if (report.m_utilization > 0.0 && keys.m_arrival_count > 0.0)
        report.m_utilization *= std::min(1.0, counted_requests(keys) / keys.m_arrival_count);
    return report;
}

double key_utilization(const node_state& state, time_point now)
{
    if (!state.m_backend || state.m_admission_controller.m_limit == 0)
        return 0.0;
    const double interval =
        std::chrono::duration<double>(state.m_options.m_balance_interval).count();
    // The decaying count converges to rate * interval / (1 - m_load_decay).
    const double rate =
        state.m_ownership.m_arrival_count * (1.0 - state.m_options.m_load_decay) / interval;
    // The mean execution time of the load report follows each fluctuation of the server's speed.
    const auto& executed = state.m_ownership.m_owner_load;
    if (state.m_options.m_places_keys_by_speed &&
        executed.m_executions >= state.m_options.m_min_owner_executions)
        return rate * executed.m_execution_seconds / executed.m_executions /
               state.m_admission_controller.m_limit;
    const auto report = routing::make_load_report(state.m_admission_controller, true, now,
                                                  state.m_options.m_admission_options);
    return rate * std::chrono::duration<double>(report.m_service_time).count() /
           state.m_admission_controller.m_limit;
}

} // namespace azureladder::sidecar
