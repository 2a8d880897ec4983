#pragma once

#include <azureladder/key_ranges/owner_load.hpp>

#include <string>
#include <vector>

namespace azureladder::key_ranges {

struct key_placement_options
{
    /// Highest planned utilization. A server whose speed drops to a third for a fifth of the time
    /// is at twice its mean utilization then; a higher mean builds a queue each time.
    double m_max_utilization = 0.9;

    /// Cost below which an owner keeps its keys, because its requests meet their targets.
    double m_min_cost = 0.6;

    /// Ratio of an owner's cost to the planned one above which it gives keys away, and ratio of its
    /// cost or rate to the planned one below which it takes keys. Means over a few seconds deviate
    /// by a fifth.
    double m_giver_ratio = 1.4;
    double m_taker_ratio = 0.9;

    /// Share of the planned move that is made at once. The remainder follows after the owners have
    /// measured the effect.
    double m_gain = 0.7;

    /// Moves below this share of the mean load of an owner are not made.
    double m_min_moved_share = 0.2;

    /// Share of the mean request rate that each owner keeps. Its executions show when the backend
    /// server recovers.
    double m_min_rate_share = 0.15;

    /// Share of its load that an owner gives at most to one that has recovered.
    double m_recovery_share = 0.3;
};

/// Owner of key ranges and its load.
struct placement_owner
{
    std::string m_node;
    owner_report m_report;
};

/// Part of an owner's load that another owner should take.
struct key_move
{
    std::string m_target;

    /// Share of the giver's load, 0 to 1.
    double m_share = 0.0;
};

/// Expected cost of a request: its latency as a fraction of the time to the target, divided by the
/// free share of the slots, since waits grow as that share shrinks.
double request_cost(double latency, double utilization);

/// Moves that owner `self` should start so that requests cost about the same on all owners.
///
/// Load pattern: a table that was divided evenly over backend servers of uneven speed. Each owner
/// computes the plan of all owners from their reports and makes its own part. Owners with similar
/// reports get similar plans, so together they give each taker about what it can take, also if many
/// decide at the same time. `owners` has to be in the same order on all nodes. Empty if the owner
/// should keep its keys. If all owners together are overloaded, they are evenly overloaded after
/// the moves. An owner with an unknown latency gives no keys away, and takes keys as one of mean
/// speed.
std::vector<key_move> plan_key_moves(const std::vector<placement_owner>& owners,
                                     const std::string& self, const key_placement_options& options);

} // namespace azureladder::key_ranges
