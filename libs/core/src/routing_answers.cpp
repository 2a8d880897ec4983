#include "routing_internal.hpp"

#include <azureladder/base/hash.hpp>

#include <array>
#include <cstdio>

/// Answers to requests. Each request is answered exactly once, because its state is removed with
/// the answer.
namespace azureladder::core {

namespace {

/// Counts, for each upstream, open first attempts of a request that its hedge answered.
void record_hedge_losses(routing_context& context, request_token token)
{
    const auto& attempts = context.m_state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found) {
        const auto& attempt = found->second;
        if (attempt.m_is_hedge || attempt.m_detached)
            continue;
        ++stats_of(context.m_state, attempt.m_service)
              .m_upstreams[attempt.m_to]
              .m_consecutive_hedge_losses;
        // Ejections are updated at once, so that the straggler gets no further requests until the
        // next regular update.
        context.m_state.m_routing.m_next_stats_update = context.m_now;
    }
}

/// Cancels attempts whose outcome is no longer needed. They occupy their slots until the runtime
/// reports their end. The cancellations must precede the answer, because the runtime removes the
/// request when it answers.
void cancel_open_attempts(routing_context& context, request_token token)
{
    auto& attempts = context.m_state.m_routing.m_attempts;
    for (auto found = attempts.lower_bound({token, 0});
         found != attempts.end() && found->first.first == token; ++found) {
        auto& attempt = found->second;
        attempt.m_detached = true;
        if (attempt.m_cancelled)
            continue;
        attempt.m_cancelled = true;
        auto& stats = stats_of(context.m_state, attempt.m_service);
        record_cancelled_attempt(stats.m_upstreams[attempt.m_to],
                                 context.m_now - attempt.m_started);
        context.m_output.emplace_back(cancel_attempt{token, found->first.second});
    }
}

void report_request_finished(routing_context& context, const open_request& request,
                             const std::string& outcome, executed state)
{
    const auto latency = context.m_now - request.m_arrived;
    write_event(context, log_level::info, "request_finished",
                {{"request_id", request.m_info.m_request_id},
                 {"service", request.m_info.m_service},
                 {"executed", to_string(state)},
                 {"outcome", outcome},
                 {"latency_us", latency.count()},
                 {"role", request.m_is_entry ? "entry" : "upstream"},
                 {"attempts", request.m_last_attempt}});
    if (!request.m_is_entry)
        return;
    context.m_output.emplace_back(record_request{request.m_info.m_service,
                                                 request.m_info.m_customer, request.m_info.m_class,
                                                 outcome, latency});
}

void drop_request(routing_context& context, request_token token)
{
    auto& routing = context.m_state.m_routing;
    const auto found = routing.m_requests.find(token);
    const auto& request = found->second;
    routing.m_timers.erase({request.m_timer_at, token});
    routing.m_waiting.erase(token);
    remove_request(routing.m_queue, token);
    const auto key = routing.m_claim_keys.find(request.m_claim.m_key);
    if (key != routing.m_claim_keys.end() && key->second == token)
        routing.m_claim_keys.erase(key);
    routing.m_requests.erase(found);
}

/// Error code that is consistent with `state`: `code`, or one that implies `state`.
error_code consistent_code(const open_request& request, error_code code, executed state)
{
    if (executed_for(code) == state)
        return code;
    // A request that was not executed before its deadline is reported as expired in the queue.
    return state == executed::unknown ? request.m_lost_error : error_code::deadline_in_queue;
}

} // namespace

void answer_reply(routing_context& context, const attempt_finished& input)
{
    const auto token = input.m_token;
    const auto& request = *find_request(context.m_state, token);
    record_hedge_losses(context, token);
    cancel_open_attempts(context, token);
    context.m_output.emplace_back(answer_with_reply{token, input.m_attempt});
    // A backend server that exceeds the deadline may reply with an unknown execution state. Such a
    // reply must not be replayed as the outcome.
    const auto state = input.m_executed == executed::unknown ? executed::unknown : executed::yes;
    report_request_finished(context, request, "ok", state);
    complete_claim(context, token, request, state, &input);
    drop_request(context, token);
}

void answer_replay(routing_context& context, request_token token, const claim_reply& reply)
{
    const auto& request = *find_request(context.m_state, token);
    context.m_output.emplace_back(
        answer_with_replay{token, reply.m_status, reply.m_content_type, reply.m_body});
    write_event(context, log_level::info, "request_replayed",
                {{"request_id", request.m_info.m_request_id}, {"reason", "claim_executed"}});
    report_request_finished(context, request, "ok", executed::yes);
    drop_request(context, token);
}

void answer_error(routing_context& context, request_token token, error_code code,
                  const std::string& text)
{
    const auto& request = *find_request(context.m_state, token);
    const bool is_claim_error =
        code == error_code::claim_in_progress || code == error_code::claim_unknown;
    const bool may_have_executed = is_claim_error || request.m_claim.m_in_progress ||
                                   request.m_may_have_executed ||
                                   open_attempt_count(context.m_state, token) > 0;
    const auto state = may_have_executed ? executed::unknown : executed::no;
    const auto final_code = consistent_code(request, code, state);
    cancel_open_attempts(context, token);
    const bool is_temporary = http_status_for(final_code) == 503;
    context.m_output.emplace_back(answer_with_error{
        token, final_code, text, state, is_temporary ? retry_after_delay : duration(0)});
    report_request_finished(context, request, std::string(to_string(final_code)), state);
    complete_claim(context, token, request, state, nullptr);
    drop_request(context, token);
}

void write_event(routing_context& context, log_level level, const char* name, json fields)
{
    context.m_output.emplace_back(write_log{level, name, std::move(fields)});
}

std::string key_hash_text(const std::string& key)
{
    if (key.empty())
        return {};
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(hash64(key)));
    return text.data();
}

} // namespace azureladder::core
