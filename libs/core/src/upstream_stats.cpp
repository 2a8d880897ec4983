#include <azureladder/core/upstream_stats.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

/// Weight of a sample in the smoothed latency.
constexpr double latency_smoothing = 0.2;

/// Latency above this multiple of the minimum, plus the margin, indicates queueing at the upstream.
constexpr double queueing_factor = 2.0;
constexpr double latency_margin_us = 1000.0;

/// Factor by which each reply raises the minimum latency.
constexpr double base_latency_growth = 1.002;

/// Factors by which queueing and refusals reduce the window.
constexpr double window_decrease = 0.9;
constexpr double refusal_decrease = 0.7;
constexpr double max_window = 1000.0;

/// An upstream is a straggler when its latency exceeds this multiple of the median of its service.
constexpr double straggler_factor = 3.0;
constexpr std::uint32_t min_straggler_samples = 5;

/// An upstream is also a straggler when another upstream answered this many consecutive requests
/// first after a hedge. Hedges end its slow attempts early, so that its measured latency may stay
/// below the factor above.
constexpr std::uint32_t straggler_hedge_losses = 2;

/// Latency that another availability zone may add; zones are up to 5 ms apart.
constexpr double other_zone_margin_us = 12000.0;
constexpr duration min_ejection_time = seconds(1);
constexpr duration max_ejection_time = seconds(30);

/// The ejection time is reset to the shortest after this time without an ejection.
constexpr duration ejection_reset_time = seconds(60);

/// Time for which other upstreams are preferred to an unavailable one.
constexpr duration avoid_time = milliseconds(500);

/// Replies between two calculations of the percentile, which partially sorts the latencies.
constexpr std::uint64_t replies_per_percentile_update = 32;
constexpr std::size_t percentile = 95;
constexpr std::size_t percent_base = 100;

/// Replies before the percentile is calculated. A larger number would leave entry nodes with little
/// traffic without hedges for many seconds.
constexpr std::uint64_t min_hedge_delay_samples = 32;

/// Bounds of the hedge delay as multiples of the median latency. Below the lower bound, the 5 % of
/// normal requests above the percentile would use up the hedge budget that stragglers need. Without
/// the upper bound, a straggler with more than 5 % of the replies would raise the delay to its own
/// latency.
constexpr std::uint32_t min_hedge_factor = 2;
constexpr std::uint32_t max_hedge_factor = 3;

void update_window(upstream_stats& upstream, double latency_us)
{
    auto& base = upstream.m_base_latency_us;
    base = base <= 0.0 ? latency_us : std::min(latency_us, base * base_latency_growth);
    if (latency_us > queueing_factor * base + latency_margin_us)
        upstream.m_window = std::max(1.0, upstream.m_window * window_decrease);
    else if (upstream.m_in_flight + 1.0 >= upstream.m_window)
        upstream.m_window = std::min(max_window, upstream.m_window + 1.0 / upstream.m_window);
}

void update_hedge_delay(service_stats& service, duration latency)
{
    constexpr auto count = service_stats::latency_count;
    service.m_latencies[service.m_latency_samples % count] =
        static_cast<std::uint32_t>(std::min<std::int64_t>(latency.count(), UINT32_MAX));
    ++service.m_latency_samples;
    if (service.m_latency_samples < min_hedge_delay_samples ||
        service.m_latency_samples % replies_per_percentile_update != 0)
        return;
    auto sorted = service.m_latencies;
    const auto known = std::min<std::size_t>(count, service.m_latency_samples);
    auto* const end = sorted.begin() + known;
    auto* const rank = sorted.begin() + known * percentile / percent_base;
    std::nth_element(sorted.begin(), rank, end);
    auto* const middle = sorted.begin() + known / 2;
    std::nth_element(sorted.begin(), middle, rank);
    const auto delay = std::clamp(*rank, min_hedge_factor * *middle, max_hedge_factor * *middle);
    service.m_hedge_delay = std::max<duration>(duration(delay), milliseconds(1));
}

void smooth_latency(upstream_stats& upstream, double latency_us)
{
    const bool replaces = upstream.m_samples == 0 || upstream.m_half_open;
    upstream.m_half_open = false;
    upstream.m_latency_us = replaces ? latency_us
                                     : upstream.m_latency_us * (1.0 - latency_smoothing) +
                                           latency_us * latency_smoothing;
    ++upstream.m_samples;
}

void eject(upstream_stats& upstream, time_point now)
{
    const bool repeated = upstream.m_ejection_time > duration(0) &&
                          now - upstream.m_ejected_until <= ejection_reset_time;
    upstream.m_ejection_time =
        repeated ? std::min(upstream.m_ejection_time * 2, max_ejection_time) : min_ejection_time;
    upstream.m_ejected_until = now + upstream.m_ejection_time;
    upstream.m_ejected = true;
    // After the ejection, a single request that a hedge answers first ejects the upstream again.
    upstream.m_consecutive_hedge_losses = straggler_hedge_losses - 1;
}

double margin_us(const service_stats& service, const member_id& member)
{
    const auto is_same = [&](const auto& candidate) { return candidate.m_member == member; };
    const auto& candidates = service.m_candidates;
    const auto found = std::find_if(candidates.begin(), candidates.end(), is_same);
    const bool local = found == candidates.end() || found->m_local_zone;
    return local ? latency_margin_us : other_zone_margin_us;
}

bool is_straggler(const upstream_stats& upstream, double median, double margin)
{
    if (upstream.m_consecutive_hedge_losses >= straggler_hedge_losses)
        return true;
    if (upstream.m_samples < min_straggler_samples)
        return false;
    const double latency = effective_latency_us(upstream);
    return latency > straggler_factor * median && latency > median + margin;
}

} // namespace

void record_reply(service_stats& service, upstream_stats& upstream, duration latency)
{
    const auto latency_us = static_cast<double>(latency.count());
    upstream.m_consecutive_hedge_losses = 0;
    smooth_latency(upstream, latency_us);
    update_window(upstream, latency_us);
    update_hedge_delay(service, latency);
}

void record_cancelled_attempt(upstream_stats& upstream, duration age)
{
    const auto age_us = static_cast<double>(age.count());
    if (age_us > upstream.m_latency_us)
        smooth_latency(upstream, age_us);
}

void record_upstream_refusal(upstream_stats& upstream)
{
    upstream.m_window = std::max(1.0, upstream.m_window * refusal_decrease);
}

void mark_unavailable(upstream_stats& upstream, time_point now)
{
    upstream.m_avoid_until = now + avoid_time;
    upstream.m_window = 1.0;
}

double median_latency_us(const service_stats& service)
{
    std::vector<double> latencies;
    for (const auto& [member, upstream] : service.m_upstreams) {
        if (upstream.m_samples > 0)
            latencies.push_back(upstream.m_latency_us);
    }
    if (latencies.empty())
        return 0.0;
    // With the lower median, one of two upstreams can be a straggler.
    const auto middle = static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), latencies.begin() + middle, latencies.end());
    return latencies[static_cast<std::size_t>(middle)];
}

double effective_latency_us(const upstream_stats& upstream)
{
    return std::max(upstream.m_latency_us,
                    static_cast<double>(upstream.m_oldest_in_flight_age.count()));
}

std::vector<member_id> update_ejections(service_stats& service, time_point now)
{
    std::vector<member_id> changed;
    std::size_t ejected = 0;
    const double median = median_latency_us(service);
    for (auto& [member, upstream] : service.m_upstreams) {
        if (upstream.m_ejected && now >= upstream.m_ejected_until) {
            // Its old measurements would prevent its selection, so it starts with the median
            // latency, and a single request decides whether it is still a straggler.
            upstream.m_ejected = false;
            upstream.m_latency_us = median;
            upstream.m_samples = min_straggler_samples;
            upstream.m_half_open = true;
            changed.push_back(member);
        }
        ejected += upstream.m_ejected ? 1 : 0;
    }
    for (auto& [member, upstream] : service.m_upstreams) {
        if (upstream.m_ejected || !is_straggler(upstream, median, margin_us(service, member)) ||
            (ejected + 1) * 2 > service.m_upstreams.size())
            continue;
        eject(upstream, now);
        ++ejected;
        changed.push_back(member);
    }
    return changed;
}

} // namespace azureladder::core
