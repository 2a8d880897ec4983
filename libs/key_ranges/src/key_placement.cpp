#include <azureladder/key_ranges/key_placement.hpp>

#include <algorithm>
#include <cstddef>

namespace azureladder::key_ranges {

namespace {

/// Utilization above which the cost of a request does not grow further.
constexpr double max_cost_utilization = 0.9;

/// Iterations of the search for the planned cost; the result is exact to a thousandth.
constexpr int search_iterations = 24;

/// Largest planned cost. Beyond it, the owners can't execute all requests.
constexpr double max_planned_cost = 20.0;

/// An owner with less than this share of its planned rate has recovered from slowness, or is new.
constexpr double recovered_rate_share = 0.5;

struct planned_owner
{
    const placement_owner* m_owner = nullptr;
    owner_report m_report;
    double m_rate = 0.0;
    double m_cost = 0.0;
    double m_planned_rate = 0.0;

    /// Requests per second that the owner should give away or take.
    double m_gives = 0.0;
    double m_takes = 0.0;
};

bool is_known(const owner_report& report)
{
    return report.m_latency > 0.0 && report.m_utilization_per_request > 0.0;
}

/// Mean of the known reports, with no load; unknown if less than half of the reports are known.
owner_report mean_report(const std::vector<placement_owner>& owners)
{
    owner_report sum;
    std::size_t known = 0;
    for (const auto& owner : owners) {
        if (!is_known(owner.m_report))
            continue;
        sum.m_latency += owner.m_report.m_latency;
        sum.m_utilization_per_request += owner.m_report.m_utilization_per_request;
        ++known;
    }
    if (known == 0 || known * 2 < owners.size())
        return {};
    const auto count = static_cast<double>(known);
    return {0.0, sum.m_utilization_per_request / count, sum.m_latency / count};
}

/// Owners with their rates and costs. One that has executed too few requests gets the mean speed,
/// so that it takes keys. Empty if most are unknown.
std::vector<planned_owner> make_planned_owners(const std::vector<placement_owner>& owners)
{
    const owner_report mean = mean_report(owners);
    std::vector<planned_owner> result;
    if (!is_known(mean))
        return result;
    result.reserve(owners.size());
    for (const auto& owner : owners) {
        const owner_report& report = is_known(owner.m_report) ? owner.m_report : mean;
        result.push_back({&owner, report, report.m_utilization / report.m_utilization_per_request,
                          request_cost(report.m_latency, report.m_utilization)});
    }
    return result;
}

double sum_of(const std::vector<planned_owner>& owners, double planned_owner::*field)
{
    double sum = 0.0;
    for (const auto& owner : owners)
        sum += owner.*field;
    return sum;
}

/// Request rate at which the requests of an owner have the given cost.
double rate_at_cost(const owner_report& report, double cost, double min_rate,
                    const key_placement_options& options)
{
    const double utilization =
        std::clamp(1.0 - report.m_latency / cost, 0.0, options.m_max_utilization);
    return std::max(min_rate, utilization / report.m_utilization_per_request);
}

double total_rate_at_cost(const std::vector<planned_owner>& owners, double cost, double min_rate,
                          const key_placement_options& options)
{
    double sum = 0.0;
    for (const auto& owner : owners)
        sum += rate_at_cost(owner.m_report, cost, min_rate, options);
    return sum;
}

/// Lowest cost at which the owners together execute `total` requests per second.
double find_planned_cost(const std::vector<planned_owner>& owners, double total, double min_rate,
                         const key_placement_options& options)
{
    double low = 0.0;
    double high = max_planned_cost;
    for (int i = 0; i < search_iterations; ++i) {
        const double middle = (low + high) / 2.0;
        (total_rate_at_cost(owners, middle, min_rate, options) < total ? low : high) = middle;
    }
    return high;
}

/// Plans the rate and the cost of each owner. If the owners can't execute all requests, each gets
/// the same multiple of what it can execute, and that multiple is the cost. Returns the planned
/// cost.
double plan_rates(std::vector<planned_owner>& owners, const key_placement_options& options)
{
    const double total = sum_of(owners, &planned_owner::m_rate);
    const double min_rate = options.m_min_rate_share * total / static_cast<double>(owners.size());
    const double capacity = total_rate_at_cost(owners, max_planned_cost, min_rate, options);
    const double cost =
        capacity < total ? max_planned_cost : find_planned_cost(owners, total, min_rate, options);
    for (auto& owner : owners) {
        owner.m_planned_rate = rate_at_cost(owner.m_report, cost, min_rate, options);
        if (capacity >= total)
            continue;
        owner.m_cost = owner.m_rate / owner.m_planned_rate;
        owner.m_planned_rate *= total / capacity;
    }
    return capacity < total ? total / capacity : cost;
}

/// Lets the owner with the highest cost give keys to one that has recovered. The other owners have
/// nearly the planned cost then, so none of them would give keys on its own account.
void plan_recovery(std::vector<planned_owner>& owners, const key_placement_options& options)
{
    planned_owner* taker = nullptr;
    for (auto& owner : owners) {
        if (owner.m_rate < owner.m_planned_rate * recovered_rate_share &&
            (taker == nullptr || owner.m_cost < taker->m_cost))
            taker = &owner;
    }
    for (auto& owner : owners)
        owner.m_takes = &owner == taker ? owner.m_planned_rate - owner.m_rate : 0.0;
    if (taker == nullptr)
        return;
    auto giver = std::max_element(owners.begin(), owners.end(),
                                  [](const auto& a, const auto& b) { return a.m_cost < b.m_cost; });
    if (giver->m_cost >= options.m_min_cost &&
        giver->m_cost * options.m_taker_ratio >= taker->m_cost * options.m_giver_ratio)
        giver->m_gives = std::min(taker->m_takes, giver->m_rate * options.m_recovery_share);
}

/// Keeps the owners that can take most, as many as all that is given needs. Shares of all takers
/// would be too small to be worth a move.
void keep_largest_takers(std::vector<planned_owner>& owners)
{
    std::vector<planned_owner*> takers;
    for (auto& owner : owners) {
        if (owner.m_takes > 0.0)
            takers.push_back(&owner);
    }
    std::sort(takers.begin(), takers.end(),
              [](const auto* a, const auto* b) { return a->m_takes > b->m_takes; });
    double needed = sum_of(owners, &planned_owner::m_gives);
    for (planned_owner* taker : takers) {
        if (needed <= 0.0)
            taker->m_takes = 0.0;
        needed -= taker->m_takes;
    }
}

/// Part of the takers that belongs to the giver `self`. Givers and takers are laid side by side in
/// the order of the owners, so no two givers plan the same part of a taker.
std::vector<key_move> own_part(const std::vector<planned_owner>& owners, const planned_owner& self,
                               const key_placement_options& options)
{
    std::vector<key_move> result;
    const double given = sum_of(owners, &planned_owner::m_gives);
    const double taken = sum_of(owners, &planned_owner::m_takes);
    const double moved = std::min(given, taken) * options.m_gain;
    if (moved <= 0.0)
        return result;
    double from = 0.0;
    for (const auto& owner : owners) {
        if (&owner == &self)
            break;
        from += owner.m_gives * moved / given;
    }
    const double to = from + self.m_gives * moved / given;
    const double min_moved = options.m_min_moved_share * sum_of(owners, &planned_owner::m_rate) /
                             static_cast<double>(owners.size());
    double taker_from = 0.0;
    for (const auto& owner : owners) {
        const double taker_to = taker_from + owner.m_takes * moved / taken;
        const double rate = std::min(to, taker_to) - std::max(from, taker_from);
        if (rate >= min_moved)
            result.push_back({owner.m_owner->m_node, rate / self.m_rate});
        taker_from = taker_to;
    }
    return result;
}

} // namespace

double request_cost(double latency, double utilization)
{
    return latency / (1.0 - std::clamp(utilization, 0.0, max_cost_utilization));
}

std::vector<key_move> plan_key_moves(const std::vector<placement_owner>& owners,
                                     const std::string& self, const key_placement_options& options)
{
    auto planned = make_planned_owners(owners);
    const auto own = std::find_if(planned.begin(), planned.end(),
                                  [&](const auto& owner) { return owner.m_owner->m_node == self; });
    if (own == planned.end() || !is_known(own->m_owner->m_report) || own->m_rate <= 0.0 ||
        own->m_cost < options.m_min_cost)
        return {};
    const double cost = plan_rates(planned, options);
    bool has_givers = false;
    for (auto& owner : planned) {
        const double excess = owner.m_rate - owner.m_planned_rate;
        if (excess < 0.0 && (owner.m_cost <= cost * options.m_taker_ratio ||
                             owner.m_rate < owner.m_planned_rate * options.m_taker_ratio))
            owner.m_takes = -excess;
        if (excess > 0.0 && owner.m_cost >= options.m_min_cost &&
            owner.m_cost >= cost * options.m_giver_ratio)
            owner.m_gives = excess;
        has_givers = has_givers || owner.m_gives > 0.0;
    }
    if (!has_givers)
        plan_recovery(planned, options);
    keep_largest_takers(planned);
    return own->m_gives > 0.0 ? own_part(planned, *own, options) : std::vector<key_move>();
}

} // namespace azureladder::key_ranges
