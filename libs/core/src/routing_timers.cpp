#include "routing_internal.hpp"

#include <azureladder/core/ownership.hpp>

#include <algorithm>

/// Timers for deadlines, retries and hedges.
namespace azureladder::core {

namespace {

/// Interval between two updates of in-flight ages and ejections of upstreams.
constexpr duration stats_update_interval = milliseconds(100);

time_point next_attempt_deadline(const node_state& state, request_token token)
{
    auto next = time_point::max();
    const auto& attempts = state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found) {
        if (!found->second.m_detached)
            next = std::min(next, found->second.m_deadline + attempt_report_timeout);
    }
    return next;
}

/// Treats an attempt whose end was not reported in time as lost; returns whether there was one. The
/// request has then been retried or answered, or waits for its other attempt.
bool fail_overdue_attempt(routing_context& context, request_token token)
{
    auto& attempts = context.m_state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found) {
        auto& attempt = found->second;
        if (attempt.m_detached || context.m_now < attempt.m_deadline + attempt_report_timeout)
            continue;
        attempt.m_detached = true;
        if (!attempt.m_cancelled)
            context.m_output.emplace_back(cancel_attempt{token, found->first.second});
        attempt.m_cancelled = true;
        handle_attempt_failure(
            context, token, attempt.m_is_local ? error_code::backend_lost : error_code::peer_lost,
            false);
        return true;
    }
    return false;
}

void handle_request_timer(routing_context& context, request_token token)
{
    auto& request = *find_request(context.m_state, token);
    if (context.m_now >= request.m_deadline) {
        answer_error(context, token, error_code::deadline_exceeded, "the deadline has passed");
        return;
    }
    if (fail_overdue_attempt(context, token))
        return;
    if (request.m_phase == request_phase::waiting_owner && context.m_now >= request.m_retry_at) {
        route_request(context, token);
        return;
    }
    if (context.m_now >= request.m_hedge_at)
        hedge_request(context, token);
    if (request.m_phase == request_phase::claiming && context.m_now >= request.m_claim.m_resend_at)
        send_claim_request(context, token);
}

} // namespace

void schedule_timer(routing_context& context, request_token token)
{
    auto* request = find_request(context.m_state, token);
    if (request == nullptr)
        return;
    auto timer_at = std::min(request->m_deadline, next_attempt_deadline(context.m_state, token));
    if (request->m_phase == request_phase::waiting_owner)
        timer_at = std::min(timer_at, request->m_retry_at);
    if (request->m_phase == request_phase::claiming)
        timer_at = std::min(timer_at, request->m_claim.m_resend_at);
    if (request->m_phase == request_phase::active)
        timer_at = std::min(timer_at, request->m_hedge_at);
    auto& timers = context.m_state.m_routing.m_timers;
    timers.erase({request->m_timer_at, token});
    request->m_timer_at = timer_at;
    timers.emplace(timer_at, token);
}

void run_due_timers(routing_context& context)
{
    auto& timers = context.m_state.m_routing.m_timers;
    std::vector<request_token> due;
    for (const auto& [time, token] : timers) {
        if (time > context.m_now)
            break;
        due.push_back(token);
    }
    for (const auto token : due) {
        if (find_request(context.m_state, token) == nullptr)
            continue;
        handle_request_timer(context, token);
        schedule_timer(context, token);
    }
}

void expire_unreported_attempts(routing_context& context)
{
    auto& routing = context.m_state.m_routing;
    for (auto found = routing.m_attempts.begin(); found != routing.m_attempts.end();) {
        const auto& attempt = found->second;
        if (!attempt.m_detached ||
            context.m_now < attempt.m_deadline + unreported_attempt_timeout) {
            ++found;
            continue;
        }
        write_event(context, log_level::warning, "attempt_unreported",
                    {{"attempt", found->first.second},
                     {"reason", "no report of its end within 5 s of the deadline"}});
        auto& upstream = stats_of(context.m_state, attempt.m_service).m_upstreams[attempt.m_to];
        if (attempt.m_is_local)
            --routing.m_limit.m_in_flight;
        else if (upstream.m_in_flight > 0)
            --upstream.m_in_flight;
        found = routing.m_attempts.erase(found);
    }
}

void update_upstream_stats(routing_context& context)
{
    auto& routing = context.m_state.m_routing;
    if (context.m_now < routing.m_next_stats_update)
        return;
    routing.m_next_stats_update = context.m_now + stats_update_interval;
    for (auto& [name, service] : routing.m_services) {
        // The next selection recomputes the candidates and removes measurements of members that are
        // no longer upstreams.
        service.m_candidates_version.reset();
        for (auto& [member, upstream] : service.m_upstreams)
            upstream.m_oldest_in_flight_age = duration(0);
    }
    for (const auto& [id, attempt] : routing.m_attempts) {
        if (attempt.m_cancelled)
            continue;
        auto& upstream = stats_of(context.m_state, attempt.m_service).m_upstreams[attempt.m_to];
        upstream.m_oldest_in_flight_age =
            std::max(upstream.m_oldest_in_flight_age, context.m_now - attempt.m_started);
    }
    for (auto& [name, service] : routing.m_services) {
        // Services divided by key have no candidates, because each key has a single owner.
        if (service.m_candidates.empty())
            continue;
        for (const auto& member : update_ejections(service, context.m_now)) {
            const auto& upstream = service.m_upstreams[member];
            write_event(context, log_level::info,
                        upstream.m_ejected ? "upstream_ejected" : "upstream_returned",
                        {{"service", name},
                         {"upstream", member.m_node},
                         {"latency_us", upstream.m_latency_us},
                         {"reason", "latency and hedges compared with the other upstreams"}});
        }
    }
}

void handle_abandoned(routing_context& context, request_token token)
{
    auto* request = find_request(context.m_state, token);
    if (request == nullptr)
        return;
    request->m_abandoned = true;
    // A non-idempotent request with an open attempt runs to its end, so that its claim stores the
    // outcome.
    if (!request->m_info.m_idempotent && open_attempt_count(context.m_state, token) > 0)
        return;
    answer_error(context, token, error_code::deadline_exceeded,
                 "the caller or the entry node no longer waits for the answer");
}

} // namespace azureladder::core
