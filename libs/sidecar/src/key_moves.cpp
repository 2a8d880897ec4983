#include "step_context.hpp"

#include <azureladder/key_ranges/fencing_token.hpp>
#include <azureladder/key_ranges/hold_rules.hpp>
#include <azureladder/key_ranges/key_load.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Timeout after which a release is sent again.
constexpr duration release_timeout = milliseconds(700);

/// Time for which a release waits for the responses to grants of its keys.
constexpr duration open_grant_patience = milliseconds(400);

/// Largest share of a server's load that is transferred in one balancing step.
constexpr double max_moved_share = 0.5;

/// Largest number of simultaneous transfers from one node. Skewed traffic may start within a second
/// on a table that was divided evenly.
constexpr std::size_t max_moves_at_once = 6;

/// A target is chosen with a probability of one in this number, so that several busy nodes do not
/// choose the same one.
constexpr std::uint64_t target_choice = 2;

/// Bounds of the load of a transferred part, as a share of the wanted load.
constexpr double smallest_part_share = 0.6;
constexpr double largest_part_share = 1.4;

/// Time for which a backend server may be unavailable before its ranges are transferred. Restarts
/// of a server and short interruptions end sooner.
constexpr duration closed_patience = milliseconds(700);

void begin_move(step_context& context, const key_ranges::range_entry& entry, std::uint32_t from,
                std::uint32_t to, const std::string& target, const char* reason)
{
    key_ownership& keys = context.m_state.m_ownership;
    range_move move;
    move.m_from = from;
    move.m_to = to;
    move.m_fence = entry.m_fence;
    move.m_target = target;
    log(context, log_level::info, "keys_moving",
        {{"from", from},
         {"to", to},
         {"fence", move.m_fence},
         {"target", target},
         {"hold_ends_ms", to_ms(std::max(duration::zero(), key_ranges::last_hold_end(
                                                               keys.m_grants, from, to,
                                                               context.m_state.m_options.m_holds) -
                                                               context.m_now))},
         {"reason", reason}});
    keys.m_moves.push_back(std::move(move));
}

void send_release(step_context& context, range_move& move)
{
    node_state& state = context.m_state;
    move.m_order = state.m_next_order++;
    move.m_order_sent = context.m_now;
    key_ranges::record_release(state.m_ownership.m_grants, move.m_from, move.m_to);
    const order_connection& grants = state.m_ownership.m_connection;
    emit(context, release_keys{move.m_order,
                               grants.m_address.empty() ? state.m_backend->m_announcement.m_address
                                                        : grants.m_address,
                               move.m_from, move.m_to,
                               key_ranges::fencing_token(move.m_fence, grants.m_number)});
}

/// Other members that may own ranges and their utilization, in ascending order of it.
std::vector<std::pair<std::string, double>> receivers(const node_state& state, time_point now)
{
    std::vector<std::pair<std::string, double>> result;
    for (const auto& [node, life] : eligible_owners(state, local_keyed_service(state), now)) {
        const auto peer = state.m_peers.find(node);
        if (peer != state.m_peers.end())
            result.emplace_back(node, peer->second.m_status.m_key_use);
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.second < b.second; });
    return result;
}

void move_everything(step_context& context, const key_ranges::range_table& table)
{
    const auto targets = receivers(context.m_state, context.m_now);
    if (targets.empty())
        return;
    std::size_t next = 0;
    for (const auto& entry : table.m_entries) {
        if (entry.m_owner != context.m_state.m_options.m_node ||
            entry.m_state != key_ranges::range_state::settled)
            continue;
        begin_move(context, entry, entry.m_from, entry.m_to, targets[next++ % targets.size()].first,
                   "node releases all its ranges");
    }
}

/// Mean utilization of all members that may own ranges, this node included.
double mean_use(const std::vector<std::pair<std::string, double>>& others, double own_use)
{
    double sum = own_use;
    for (const auto& [node, use] : others)
        sum += use;
    return sum / static_cast<double>(others.size() + 1);
}

/// Starts the transfer of the narrowest part that received about `wanted` of the counted requests.
/// Returns whether there is such a part.
bool move_part(step_context& context, const key_ranges::range_table& table, double wanted,
               const std::string& target)
{
    const key_ownership& keys = context.m_state.m_ownership;
    const key_ranges::range_entry* best_entry = nullptr;
    std::optional<key_ranges::range_part> best;
    for (const auto& [from, hold] : keys.m_holds) {
        const auto part =
            key_ranges::narrowest_part(keys.m_load, from, hold.m_to, wanted * smallest_part_share,
                                       wanted * largest_part_share);
        if (!part || (best && part->m_to - part->m_from >= best->m_to - best->m_from))
            continue;
        best = part;
        best_entry = key_ranges::find_entry(table, from);
    }
    if (!best || best_entry == nullptr)
        return false;
    begin_move(context, *best_entry, best->m_from, best->m_to, target, "balance");
    // Removes the part from the leases, so that the next call selects a different part.
    check_holds(context);
    return true;
}

/// Transfers the narrowest parts that bring the utilization of this node and of the least utilized
/// members closer to the mean.
void balance(step_context& context, const key_ranges::range_table& table)
{
    node_state& state = context.m_state;
    const auto targets = receivers(state, context.m_now);
    const double use = key_use(state, context.m_now);
    if (targets.empty() || use <= 0.0)
        return;
    const double mean = mean_use(targets, use);
    double total = 0.0;
    for (const auto& [from, hold] : state.m_ownership.m_holds)
        total += key_ranges::load_of(state.m_ownership.m_load, from, hold.m_to);
    double excess = use - mean;
    std::size_t moves = 0;
    for (const auto& [target, target_use] : targets) {
        peer_state& peer = state.m_peers.at(target);
        const bool newcomer = !peer.m_status.m_owns_keys && use > mean;
        const bool uneven = use >= state.m_options.m_balance_min_use &&
                            use - target_use >= state.m_options.m_balance_threshold;
        const double given = std::min({excess, mean - target_use, use * max_moved_share});
        if ((!uneven && !newcomer) || given <= 0.0 || total <= 0.0 || moves == max_moves_at_once)
            return;
        if (state.m_random() % target_choice != 0)
            continue;
        if (!move_part(context, table, total * given / use, target))
            continue;
        // Counts the transferred load at once, because the peer reports its utilization later.
        peer.m_status.m_key_use += given;
        peer.m_status.m_owns_keys = true;
        excess -= given;
        ++moves;
    }
}

/// Removes the transfers whose range has a new fencing token or owner: they are complete or
/// superseded.
void drop_finished_moves(step_context& context, const key_ranges::range_table& table)
{
    auto& moves = context.m_state.m_ownership.m_moves;
    const auto is_over = [&](const range_move& move) {
        const auto* entry = key_ranges::find_entry(table, move.m_from);
        return entry == nullptr || entry->m_fence != move.m_fence ||
               entry->m_owner != context.m_state.m_options.m_node;
    };
    moves.erase(std::remove_if(moves.begin(), moves.end(), is_over), moves.end());
}

void advance_moves(step_context& context)
{
    node_state& state = context.m_state;
    const auto& options = state.m_options.m_holds;
    key_ownership& keys = state.m_ownership;
    for (auto& move : keys.m_moves) {
        if (move.m_released)
            continue;
        if (!key_ranges::may_be_held(keys.m_grants, move.m_from, move.m_to, context.m_now,
                                     options)) {
            move.m_released = true;
            log(context, log_level::info, "hold_ended",
                {{"from", move.m_from}, {"to", move.m_to}, {"fence", move.m_fence}});
            continue;
        }
        // A grant that the server executes after the release would grant it the keys again.
        if (key_ranges::has_open_grant_since(keys.m_grants, move.m_from, move.m_to,
                                             context.m_now - open_grant_patience))
            continue;
        const bool waiting =
            move.m_order != 0 && context.m_now - move.m_order_sent < release_timeout;
        if (!waiting && state.m_backend && !state.m_backend->m_unreachable)
            send_release(context, move);
    }
}

} // namespace

bool must_own_nothing(const node_state& state, time_point now)
{
    if (state.m_stopping)
        return true;
    if (!state.m_backend)
        return now - state.m_started_at > closed_patience * 4;
    if (state.m_backend->m_unreachable)
        return now - state.m_backend->m_unreachable_since > closed_patience;
    return state.m_backend->m_leaving ||
           state.m_known.m_evacuated_zones.count(state.m_options.m_zone) != 0;
}

double key_use(const node_state& state, time_point now)
{
    if (!state.m_backend || state.m_gate.m_limit == 0)
        return 0.0;
    const auto report = routing::report_of(state.m_gate, true, now, state.m_options.m_gate);
    const double seconds_each = std::chrono::duration<double>(report.m_service_time).count();
    const double interval =
        std::chrono::duration<double>(state.m_options.m_balance_interval).count();
    // The decaying count converges to rate * interval / (1 - m_load_decay).
    const double rate =
        state.m_ownership.m_arrivals * (1.0 - state.m_options.m_load_decay) / interval;
    return rate * seconds_each / state.m_gate.m_limit;
}

void check_moves(step_context& context)
{
    node_state& state = context.m_state;
    key_ownership& keys = state.m_ownership;
    const auto found = state.m_tables.find(local_keyed_service(state));
    if (found == state.m_tables.end())
        return;
    const key_ranges::range_table& table = found->second.m_table;
    drop_finished_moves(context, table);
    advance_moves(context);
    if (must_own_nothing(state, context.m_now)) {
        if (keys.m_moves.empty())
            move_everything(context, table);
        return;
    }
    if (context.m_now < keys.m_next_balance)
        return;
    keys.m_next_balance = context.m_now + state.m_options.m_balance_interval;
    key_ranges::decay(keys.m_load, state.m_options.m_load_decay);
    keys.m_arrivals *= state.m_options.m_load_decay;
    if (keys.m_moves.empty() && !keys.m_writing)
        balance(context, table);
}

} // namespace azureladder::sidecar
