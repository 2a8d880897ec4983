#include <azureladder/routing/admission_controller.hpp>

#include <azureladder/routing/scaled_duration.hpp>

#include <boost/crc.hpp>

#include <algorithm>
#include <cmath>

namespace azureladder::routing {

namespace {

/// Window of the rate limit for cold backend servers.
constexpr duration cold_window = seconds(1);

duration blended_mean(duration mean, duration sample, double weight)
{
    if (mean == duration::zero())
        return sample;
    return scaled(mean, 1.0 - weight) + scaled(sample, weight);
}

/// Fraction of its distance to the default that a moving average has lost by `now`: a tenth of the
/// rest for each second after `m_decay_after`.
double decayed_share(time_point last_sample, time_point now, const admission_options& options)
{
    const duration beyond = now - last_sample - options.m_decay_after;
    if (beyond <= duration::zero())
        return 0.0;
    return 1.0 - std::pow(0.9, std::chrono::duration<double>(beyond).count());
}

duration decayed_mean(duration mean, time_point last_sample, time_point now,
                      const admission_options& options)
{
    if (mean == duration::zero())
        return options.m_default_service_time;
    const double share = decayed_share(last_sample, now, options);
    return scaled(mean, 1.0 - share) +
           scaled(std::min(mean, options.m_default_service_time), share);
}

bool is_more_urgent(const admission_request& a, const admission_request& b)
{
    if (a.m_is_call != b.m_is_call)
        return a.m_is_call;
    if (a.m_priority != b.m_priority)
        return a.m_priority < b.m_priority;
    if (a.m_is_late != b.m_is_late)
        return b.m_is_late;
    return a.m_target < b.m_target;
}

std::size_t max_starts_in_cold_window(const admission_controller& state,
                                      const admission_options& options)
{
    return static_cast<std::size_t>(
        std::max(1.0, std::floor(state.m_cold_rate_per_s * options.m_cold_rate_factor)));
}

bool may_start(admission_controller& state, time_point now, const admission_options& options)
{
    if (state.m_running.size() >= state.m_limit)
        return false;
    while (!state.m_recent_starts.empty() && now - state.m_recent_starts.front() > cold_window)
        state.m_recent_starts.pop_front();
    return state.m_cold_rate_per_s <= 0.0 || state.m_recent_starts.size() + state.m_awaited_bodies <
                                                 max_starts_in_cold_window(state, options);
}

/// Whether a waiting request may start.
bool has_startable(const admission_controller& state)
{
    return std::any_of(state.m_waiting.begin(), state.m_waiting.end(),
                       [](const auto& request) { return !request.m_is_held_back; });
}

void start(admission_controller& state, const admission_request& request, time_point now)
{
    state.m_running[request.m_id] = request;
    if (request.m_awaits_body)
        ++state.m_awaited_bodies;
    else
        state.m_recent_starts.push_back(now);
}

/// Mean expected execution time of the running requests.
duration mean_running_service_time(const admission_controller& state, time_point now,
                                   const admission_options& options)
{
    if (state.m_running.empty())
        return duration::zero();
    duration sum{};
    for (const auto& [id, running] : state.m_running)
        sum += expected_service_time(state, running.m_route, now, options);
    return sum / static_cast<std::int64_t>(state.m_running.size());
}

/// Predicted time until `request` would start. One running request has to end for each request
/// ahead of it and one for the request itself; `m_limit` requests are executed concurrently.
duration predicted_wait(const admission_controller& state, const admission_request& request,
                        time_point now, const admission_options& options)
{
    duration work = mean_running_service_time(state, now, options);
    std::size_t ahead = 0;
    for (const auto& waiting : state.m_waiting) {
        if (is_more_urgent(request, waiting))
            continue;
        work += expected_service_time(state, waiting.m_route, now, options);
        ++ahead;
    }
    duration wait{};
    if (state.m_running.size() >= state.m_limit)
        wait = work / std::max<std::uint32_t>(state.m_limit, 1);
    if (state.m_cold_rate_per_s > 0.0)
        wait = std::max(
            wait, scaled(cold_window, static_cast<double>(ahead + 1) / state.m_cold_rate_per_s));
    return wait;
}

/// Request that all other requests precede.
const admission_request least_urgent_request{
    0, {}, UINT32_MAX, time_point::max(), time_point::max(), false, true};

/// Mean execution times of the recently executed routes, the longest first.
route_service_times slowest_routes(const admission_controller& state, time_point now,
                                   const admission_options& options)
{
    std::vector<route_service_time> result;
    for (const auto& [route, time] : state.m_service_times) {
        if (now - time.m_last_sample_at <= options.m_route_report_period)
            result.push_back({route_hash(route),
                              decayed_mean(time.m_mean, time.m_last_sample_at, now, options)});
    }
    const std::size_t count =
        std::min({result.size(), options.m_max_reported_routes, max_reported_routes});
    std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(count),
                      result.end(), [](const route_service_time& a, const route_service_time& b) {
                          return a.m_mean > b.m_mean;
                      });
    return {result.begin(), result.begin() + static_cast<std::ptrdiff_t>(count)};
}

duration recommended_retry_delay(duration wait, const admission_options& options)
{
    return std::clamp(wait, options.m_min_retry_after, options.m_max_retry_after);
}

admission_decision enqueue(admission_controller& state, const admission_request& request,
                           duration wait, time_point now)
{
    if (!request.m_is_held_back && !has_startable(state))
        state.m_queue_nonempty_since = now;
    const auto place =
        std::upper_bound(state.m_waiting.begin(), state.m_waiting.end(), request, is_more_urgent);
    state.m_waiting.insert(place, request);
    return {admission::wait, wait};
}

} // namespace

std::uint32_t route_hash(std::string_view route)
{
    boost::crc_32_type code;
    code.process_bytes(route.data(), route.size());
    return code.checksum();
}

duration expected_service_time(const admission_controller& state, const std::string& route,
                               time_point now, const admission_options& options)
{
    const auto found = state.m_service_times.find(route);
    if (found == state.m_service_times.end())
        return decayed_mean(state.m_mean_service_time, state.m_last_sample_at, now, options);
    return decayed_mean(found->second.m_mean, found->second.m_last_sample_at, now, options);
}

admission_decision admit(admission_controller& state, const admission_request& request,
                         time_point now, const admission_options& options)
{
    if (state.m_limit == 0)
        return {admission::refuse, options.m_min_retry_after};
    const duration service = expected_service_time(state, request.m_route, now, options);
    if (now + service / 2 > request.m_deadline)
        return {admission::refuse, options.m_min_retry_after};
    const bool is_queue_empty = !has_startable(state);
    if (is_queue_empty && may_start(state, now, options)) {
        if (request.m_is_held_back)
            return enqueue(state, request, duration::zero(), now);
        start(state, request, now);
        return {admission::start, duration::zero()};
    }
    const duration wait = predicted_wait(state, request, now, options);
    // Short requests delay the others little, and often a running request depends on them.
    const bool is_short = service * 2 <= mean_running_service_time(state, now, options);
    const duration allowed =
        is_short ? scaled(request.m_deadline - now, options.m_short_max_deadline_share)
                 : scaled(request.m_target - now, options.m_max_target_share);
    const bool in_standing_queue =
        !is_queue_empty && now - state.m_queue_nonempty_since > options.m_standing_queue_after;
    const bool is_queue_short =
        is_short || !in_standing_queue ||
        wait <= scaled(request.m_target - now, options.m_standing_queue_max_target_share);
    if (wait + service <= allowed && is_queue_short)
        return enqueue(state, request, wait, now);
    // A retry is unlikely to get another attempt, so a late response is better than none.
    admission_request late = request;
    late.m_is_late = true;
    const duration late_wait = predicted_wait(state, late, now, options);
    if (request.m_is_retry && !in_standing_queue &&
        late_wait + service <= scaled(request.m_deadline - now, options.m_late_max_deadline_share))
        return enqueue(state, late, late_wait, now);
    return {admission::refuse, recommended_retry_delay(wait, options)};
}

std::vector<admission_request> start_waiting_requests(admission_controller& state, time_point now,
                                                      const admission_options& options)
{
    std::vector<admission_request> result;
    auto next = state.m_waiting.begin();
    while (next != state.m_waiting.end() && may_start(state, now, options)) {
        if (next->m_is_held_back) {
            ++next;
            continue;
        }
        result.push_back(*next);
        next = state.m_waiting.erase(next);
        start(state, result.back(), now);
    }
    return result;
}

std::vector<admission_request> remove_unanswerable_requests(admission_controller& state,
                                                            time_point now,
                                                            const admission_options& options)
{
    std::vector<admission_request> result;
    const auto is_unanswerable = [&](const admission_request& request) {
        return now + expected_service_time(state, request.m_route, now, options) / 2 >
               request.m_deadline;
    };
    for (auto it = state.m_waiting.begin(); it != state.m_waiting.end();) {
        if (is_unanswerable(*it)) {
            result.push_back(*it);
            it = state.m_waiting.erase(it);
        } else {
            ++it;
        }
    }
    return result;
}

void finish_execution(admission_controller& state, std::uint64_t id, duration elapsed,
                      execution_outcome outcome, time_point now, const admission_options& options)
{
    const auto found = state.m_running.find(id);
    if (found == state.m_running.end())
        return;
    const std::string route = found->second.m_route;
    if (found->second.m_awaits_body)
        --state.m_awaited_bodies;
    state.m_running.erase(found);
    if (outcome == execution_outcome::abandoned)
        return;
    const double weight = options.m_sample_weight;
    state.m_last_outcome_at = now;
    const double failed = outcome == execution_outcome::failed ? 1.0 : 0.0;
    state.m_failure_share += weight * (failed - state.m_failure_share);
    if (outcome == execution_outcome::failed)
        return;
    auto& mean = state.m_service_times[route];
    mean.m_mean = blended_mean(mean.m_mean, elapsed, weight);
    mean.m_last_sample_at = now;
    state.m_mean_service_time = blended_mean(state.m_mean_service_time, elapsed, weight);
    state.m_last_sample_at = now;
}

namespace {

admission_request* find_waiting(admission_controller& state, std::uint64_t id)
{
    const auto found = std::find_if(state.m_waiting.begin(), state.m_waiting.end(),
                                    [&](const auto& request) { return request.m_id == id; });
    return found == state.m_waiting.end() ? nullptr : &*found;
}

} // namespace

void set_held_back(admission_controller& state, std::uint64_t id, bool is_held_back, time_point now)
{
    admission_request* request = find_waiting(state, id);
    if (request == nullptr || request->m_is_held_back == is_held_back)
        return;
    if (!is_held_back && !has_startable(state))
        state.m_queue_nonempty_since = now;
    request->m_is_held_back = is_held_back;
}

void record_arrived_body(admission_controller& state, std::uint64_t id, time_point deadline,
                         time_point now)
{
    const auto running = state.m_running.find(id);
    if (running != state.m_running.end()) {
        if (!running->second.m_awaits_body)
            return;
        running->second.m_awaits_body = false;
        --state.m_awaited_bodies;
        state.m_recent_starts.push_back(now);
        return;
    }
    set_held_back(state, id, false, now);
    admission_request* request = find_waiting(state, id);
    if (request == nullptr)
        return;
    request->m_awaits_body = false;
    request->m_deadline = deadline;
}

bool remove_waiting_request(admission_controller& state, std::uint64_t id)
{
    const auto found = std::find_if(state.m_waiting.begin(), state.m_waiting.end(),
                                    [&](const auto& request) { return request.m_id == id; });
    if (found == state.m_waiting.end())
        return false;
    state.m_waiting.erase(found);
    return true;
}

load_report make_load_report(const admission_controller& state, bool open, time_point now,
                             const admission_options& options)
{
    load_report report;
    report.m_open = open && state.m_limit > 0;
    report.m_running = static_cast<std::uint32_t>(state.m_running.size());
    report.m_waiting = static_cast<std::uint32_t>(state.m_waiting.size());
    report.m_limit = state.m_limit;
    report.m_service_time =
        decayed_mean(state.m_mean_service_time, state.m_last_sample_at, now, options);
    report.m_route_times = slowest_routes(state, now, options);
    report.m_predicted_wait = predicted_wait(state, least_urgent_request, now, options);
    report.m_failure_share =
        state.m_failure_share * (1.0 - decayed_share(state.m_last_outcome_at, now, options));
    report.m_cold_rate_per_s = state.m_cold_rate_per_s;
    return report;
}

} // namespace azureladder::routing
