#include "admission_queue.hpp"

#include <azureladder/routing/scaled_duration.hpp>

#include <algorithm>

namespace azureladder::routing {

bool is_more_urgent(const admission_request& a, const admission_request& b)
{
    if (a.m_is_call != b.m_is_call)
        return a.m_is_call;
    if (a.m_priority != b.m_priority)
        return a.m_priority < b.m_priority;
    if (a.m_is_late != b.m_is_late)
        return b.m_is_late;
    return a.m_is_late ? a.m_deadline < b.m_deadline : a.m_target < b.m_target;
}

void demote_late_requests(admission_controller& state, time_point now,
                          const admission_options& options)
{
    std::size_t count = 0;
    for (auto& request : state.m_waiting) {
        if (request.m_is_late || request.m_is_call ||
            now + scaled(expected_service_time(state, request.m_route, now, options),
                         options.m_min_target_share) <=
                request.m_target)
            continue;
        request.m_is_late = true;
        ++count;
    }
    if (count == 0)
        return;
    std::stable_sort(state.m_waiting.begin(), state.m_waiting.end(), is_more_urgent);
    state.m_last_demoted_at = now;
    state.m_demoted_count += count;
}

bool is_queued_in_time(const admission_controller& state)
{
    return std::any_of(state.m_waiting.begin(), state.m_waiting.end(), [](const auto& request) {
        return !request.m_is_late && !request.m_is_held_back;
    });
}

std::vector<admission_request>::const_iterator first_startable(const admission_controller& state)
{
    return std::find_if(state.m_waiting.begin(), state.m_waiting.end(),
                        [](const auto& request) { return !request.m_is_held_back; });
}

admission_decision enqueue(admission_controller& state, const admission_request& request,
                           duration wait, time_point now, const admission_options& options)
{
    // A queue that became empty because its requests were too late has not been short.
    if (!request.m_is_late && !request.m_is_held_back && !is_queued_in_time(state) &&
        now - state.m_last_demoted_at > options.m_standing_queue_after)
        state.m_queue_nonempty_since = now;
    const auto place =
        std::upper_bound(state.m_waiting.begin(), state.m_waiting.end(), request, is_more_urgent);
    state.m_waiting.insert(place, request);
    state.m_queued_late_count += request.m_is_late ? 1 : 0;
    return {admission::wait, wait, request.m_is_late};
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
    if (!is_held_back && !request->m_is_late && !is_queued_in_time(state))
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

} // namespace azureladder::routing
