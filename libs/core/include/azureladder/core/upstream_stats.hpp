#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/ids.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/attempt_budget.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Measurements that an entry node takes of the upstreams of a service.
namespace azureladder::core {

/// Measurements of one upstream. Its load reports are stored for the least-reported-load policy,
/// but ejection does not use them, because they show a straggler only after a delay.
struct upstream_stats
{
    /// Initial value of `m_window`.
    static constexpr double initial_window = 8.0;

    /// Requests that this node has in flight at the upstream.
    std::uint32_t m_in_flight = 0;

    /// Exponentially smoothed latency in microseconds; zero until the first sample.
    double m_latency_us = 0.0;
    std::uint32_t m_samples = 0;

    /// Minimum latency in microseconds, which rises slowly with each reply. Reference for the
    /// detection of queueing at the upstream.
    double m_base_latency_us = 0.0;

    /// Requests in flight above which upstreams in other availability zones are used.
    double m_window = initial_window;

    /// Age of the oldest request in flight, so that an upstream that does not answer at all is
    /// detected.
    duration m_oldest_in_flight_age{0};

    /// Consecutive requests that another upstream answered first after a hedge.
    std::uint32_t m_consecutive_hedge_losses = 0;

    /// End of the ejection of a straggler, and the duration of its latest ejection.
    time_point m_ejected_until{};
    duration m_ejection_time{0};
    bool m_ejected = false;

    /// Half-open after an ejection: the upstream gets one request at a time until its first latency
    /// is measured, which replaces the smoothed latency.
    bool m_half_open = false;

    /// Time until which other upstreams are preferred because this one was unreachable or refused
    /// as leaving.
    time_point m_avoid_until{};

    /// Latest self-reported load of the backend server; negative when not reported.
    double m_reported_load = -1.0;
};

/// A node that may serve a service that is not divided by key.
struct upstream_address
{
    member_id m_member;
    endpoint m_address;
    bool m_local_zone = true;
};

/// Versions of the inputs from which the candidates of a service are computed.
struct candidate_list_version
{
    std::uint64_t m_directory_digest = 0;
    revision_number m_revision = 0;
    incarnation_id m_incarnation = 0;

    friend bool operator==(const candidate_list_version& left, const candidate_list_version& right)
    {
        return left.m_directory_digest == right.m_directory_digest &&
               left.m_revision == right.m_revision && left.m_incarnation == right.m_incarnation;
    }

    friend bool operator!=(const candidate_list_version& left, const candidate_list_version& right)
    {
        return !(left == right);
    }
};

/// Measurements of one service at this entry node.
struct service_stats
{
    std::map<member_id, upstream_stats> m_upstreams;

    /// Nodes that may serve the service according to the directory and the configuration records,
    /// and the versions of both from which the list was computed. Without versions it is
    /// recomputed.
    std::vector<upstream_address> m_candidates;
    std::optional<candidate_list_version> m_candidates_version;

    /// Ring buffer of the latest latencies of answered attempts in microseconds.
    static constexpr std::size_t latency_count = 128;
    std::array<std::uint32_t, latency_count> m_latencies{};
    std::uint64_t m_latency_samples = 0;

    /// 95th percentile of the latest latencies, bounded to 2 to 3 times their median and at least
    /// 1 ms; zero until enough latencies are measured.
    duration m_hedge_delay{0};

    /// Retries and hedges that are allowed within the budget window regardless of the traffic.
    static constexpr std::uint32_t min_retries = 20;
    static constexpr std::uint32_t min_hedges = 1;
    attempt_budget m_retries{{}, min_retries};
    attempt_budget m_hedges{{}, min_hedges};
    std::uint64_t m_round_robin = 0;
};

/// Records a complete reply of an upstream.
void record_reply(service_stats& service, upstream_stats& upstream, duration latency);

/// Records a cancelled attempt, whose latency is at least `age`.
void record_cancelled_attempt(upstream_stats& upstream, duration age);

/// Reduces the window of an upstream that refused a request.
void record_upstream_refusal(upstream_stats& upstream);

/// Makes selection prefer other upstreams temporarily, after this one was unreachable or refused as
/// leaving.
void mark_unavailable(upstream_stats& upstream, time_point now);

/// Lower median of the smoothed latencies of all measured upstreams in microseconds; zero without
/// measurements.
double median_latency_us(const service_stats& service);

/// Latency in microseconds that selection and ejection use: the smoothed latency, or the age of the
/// oldest request in flight when that is higher.
double effective_latency_us(const upstream_stats& upstream);

/// Ejects stragglers and ends ejections; returns the members whose state changed.
std::vector<member_id> update_ejections(service_stats& service, time_point now);

} // namespace azureladder::core
