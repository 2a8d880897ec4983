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

/// What an entry node measures of the upstreams of a service.
namespace azureladder::core {

/// Measurements of one upstream. Its own load reports are kept but not trusted, because they
/// reflect a straggling backend server only after a delay.
struct upstream_measure
{
    /// Requests in flight that fit before other zones are used, at the start.
    static constexpr double initial_window = 8.0;

    /// Requests that this node has in flight there.
    std::uint32_t m_in_flight = 0;

    /// Exponentially smoothed latency in microseconds; zero until measured.
    double m_latency_us = 0.0;
    std::uint32_t m_samples = 0;

    /// Slowly rising minimum of the latency, the reference for queueing at the upstream.
    double m_base_latency_us = 0.0;
    double m_window = initial_window;

    /// Age of the oldest request in flight, so that a frozen upstream is noticed before it answers.
    duration m_oldest_open{0};

    /// Requests in succession that another upstream answered after a hedge.
    std::uint32_t m_outpaced = 0;

    /// Straggler: not selected until then, unless too many would be ejected.
    time_point m_ejected_until{};
    duration m_ejection_time{0};
    bool m_ejected = false;

    /// Returned from an ejection: gets one request at a time until its first latency is known,
    /// which replaces the smoothed one.
    bool m_on_probation = false;

    /// Unreachable or leaving: other upstreams are preferred until then.
    time_point m_avoid_until{};
    double m_reported_load = -1.0;
};

/// A node that may serve a spread service.
struct upstream_address
{
    member_ref m_member;
    endpoint m_address;
    bool m_local_zone = true;
};

/// What the candidates of a service follow from.
struct candidate_basis
{
    std::uint64_t m_directory_digest = 0;
    revision_number m_revision = 0;
    incarnation_id m_incarnation = 0;

    friend bool operator==(const candidate_basis& left, const candidate_basis& right)
    {
        return left.m_directory_digest == right.m_directory_digest &&
               left.m_revision == right.m_revision && left.m_incarnation == right.m_incarnation;
    }

    friend bool operator!=(const candidate_basis& left, const candidate_basis& right)
    {
        return !(left == right);
    }
};

/// Measurements of one service at this entry node.
struct service_measure
{
    std::map<member_ref, upstream_measure> m_upstreams;

    /// Upstreams by the directory and the records, and the state of both that they follow from;
    /// unset when they have to be determined again.
    std::vector<upstream_address> m_candidates;
    std::optional<candidate_basis> m_candidates_from;

    /// Latest latencies of answered attempts in microseconds.
    static constexpr std::size_t latency_count = 128;
    std::array<std::uint32_t, latency_count> m_latencies{};
    std::uint64_t m_latency_samples = 0;

    /// 95th percentile of the latest latencies, at most 3 times their median; zero until known.
    duration m_hedge_delay{0};

    /// Retries and hedges that are allowed whatever the traffic in the budget period.
    static constexpr std::uint32_t retry_floor = 20;
    static constexpr std::uint32_t hedge_floor = 1;
    attempt_budget m_retries{{}, retry_floor};
    attempt_budget m_hedges{{}, hedge_floor};
    std::uint64_t m_round_robin = 0;
};

/// Accounts a whole reply of an upstream.
void note_reply(service_measure& service, upstream_measure& upstream, duration latency);

/// Accounts a cancelled attempt: its latency is at least `age`.
void note_unanswered(upstream_measure& upstream, duration age);

/// Lowers the number of requests that fit at an upstream that refused one.
void note_upstream_refusal(upstream_measure& upstream);

/// Prefers other upstreams for a time after this one was unreachable or refused as leaving.
void note_unavailable(upstream_measure& upstream, time_point now);

/// Median of the smoothed latencies of all measured upstreams in microseconds; zero if none.
double median_latency_us(const service_measure& service);

/// Latency that selection and ejection assume, including requests that are still open.
double effective_latency_us(const upstream_measure& upstream);

/// Ejects stragglers and ends ejections; returns the members whose state changed.
std::vector<member_ref> update_ejections(service_measure& service, time_point now);

} // namespace azureladder::core
