#include "routing_internal.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

/// Timers for deadlines, retries and hedges.
namespace azureladder::core {

namespace {

/// Interval between two updates of in-flight ages and ejections of upstreams.
constexpr duration measurement_interval = milliseconds(100);

time_point next_attempt_deadline(const node_state& state, request_token token)
{
    auto next = time_point::max();
    const auto& attempts = state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found) {
        if (!found->second.m_settled)
            next = std::min(next, found->second.m_deadline + report_delay);
    }
    return next;
}

/// Treats an attempt whose end was not reported in time as lost; returns whether there was one. The
/// request has then been retried or answered, or waits for its other attempt.
bool settle_late_attempts(routing_step& step, request_token token)
{
    auto& attempts = step.m_state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found) {
        auto& attempt = found->second;
        if (attempt.m_settled || step.m_now < attempt.m_deadline + report_delay)
            continue;
        attempt.m_settled = true;
        if (!attempt.m_cancelled)
            step.m_output.emplace_back(cancel_attempt{token, found->first.second});
        attempt.m_cancelled = true;
        handle_attempt_failure(
            step, token, attempt.m_local ? error_code::backend_lost : error_code::peer_lost, false);
        return true;
    }
    return false;
}

void wake_request(routing_step& step, request_token token)
{
    auto& request = *find_request(step.m_state, token);
    if (step.m_now >= request.m_deadline) {
        answer_error(step, token, error_code::deadline_exceeded, "the deadline has passed");
        return;
    }
    if (settle_late_attempts(step, token))
        return;
    if (request.m_phase == request_phase::waiting_owner && step.m_now >= request.m_retry_at) {
        route_request(step, token);
        return;
    }
    if (step.m_now >= request.m_hedge_at)
        hedge_request(step, token);
    if (request.m_phase == request_phase::claiming && step.m_now >= request.m_claim.m_resend_at)
        ask_claim_owner(step, token);
}

} // namespace

void arm(routing_step& step, request_token token)
{
    auto* request = find_request(step.m_state, token);
    if (request == nullptr)
        return;
    auto wake = std::min(request->m_deadline, next_attempt_deadline(step.m_state, token));
    if (request->m_phase == request_phase::waiting_owner)
        wake = std::min(wake, request->m_retry_at);
    if (request->m_phase == request_phase::claiming)
        wake = std::min(wake, request->m_claim.m_resend_at);
    if (request->m_phase == request_phase::active)
        wake = std::min(wake, request->m_hedge_at);
    auto& timers = step.m_state.m_routing.m_timers;
    timers.erase({request->m_wake, token});
    request->m_wake = wake;
    timers.emplace(wake, token);
}

void run_due_timers(routing_step& step)
{
    auto& timers = step.m_state.m_routing.m_timers;
    std::vector<request_token> due;
    for (const auto& [time, token] : timers) {
        if (time > step.m_now)
            break;
        due.push_back(token);
    }
    for (const auto token : due) {
        if (find_request(step.m_state, token) == nullptr)
            continue;
        wake_request(step, token);
        arm(step, token);
    }
}

void expire_attempts(routing_step& step)
{
    auto& routing = step.m_state.m_routing;
    for (auto found = routing.m_attempts.begin(); found != routing.m_attempts.end();) {
        const auto& attempt = found->second;
        if (!attempt.m_settled || step.m_now < attempt.m_deadline + report_grace) {
            ++found;
            continue;
        }
        write_event(step, log_level::warning, "attempt_unreported",
                    {{"attempt", found->first.second},
                     {"reason", "no report of its end within 5 s of the deadline"}});
        auto& upstream = measure_of(step.m_state, attempt.m_service).m_upstreams[attempt.m_to];
        if (attempt.m_local)
            --routing.m_limit.m_in_flight;
        else if (upstream.m_in_flight > 0)
            --upstream.m_in_flight;
        found = routing.m_attempts.erase(found);
    }
}

void measure_upstreams(routing_step& step)
{
    auto& routing = step.m_state.m_routing;
    if (step.m_now < routing.m_next_measurement)
        return;
    routing.m_next_measurement = step.m_now + measurement_interval;
    for (auto& [name, service] : routing.m_services) {
        // The next selection recomputes the candidates and removes measurements of members that are
        // no longer upstreams.
        service.m_candidates_from.reset();
        for (auto& [member, upstream] : service.m_upstreams)
            upstream.m_oldest_open = duration(0);
    }
    for (const auto& [id, attempt] : routing.m_attempts) {
        if (attempt.m_cancelled)
            continue;
        auto& upstream = measure_of(step.m_state, attempt.m_service).m_upstreams[attempt.m_to];
        upstream.m_oldest_open = std::max(upstream.m_oldest_open, step.m_now - attempt.m_started);
    }
    for (auto& [name, service] : routing.m_services) {
        // Services divided by key have no candidates, because each key has a single owner.
        if (service.m_candidates.empty())
            continue;
        for (const auto& member : update_ejections(service, step.m_now)) {
            const auto& upstream = service.m_upstreams[member];
            write_event(step, log_level::info,
                        upstream.m_ejected ? "upstream_ejected" : "upstream_returned",
                        {{"service", name},
                         {"upstream", member.m_node},
                         {"latency_us", upstream.m_latency_us},
                         {"reason", "latency and hedges compared with the other upstreams"}});
        }
    }
}

void handle_abandoned(routing_step& step, request_token token)
{
    auto* request = find_request(step.m_state, token);
    if (request == nullptr)
        return;
    request->m_abandoned = true;
    // A non-idempotent request with an open attempt runs to its end, so that its claim stores the
    // outcome.
    if (!request->m_info.m_idempotent && open_attempt_count(step.m_state, token) > 0)
        return;
    answer_error(step, token, error_code::deadline_exceeded,
                 "the caller or the entry node no longer waits for the answer");
}

} // namespace azureladder::core
