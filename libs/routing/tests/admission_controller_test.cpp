#include <azureladder/routing/admission_controller.hpp>

#include <gtest/gtest.h>

namespace azureladder::routing {

namespace {

constexpr time_point start_time{std::chrono::seconds(100)};

admission_request make_request(std::uint64_t id, const std::string& route, std::uint32_t priority,
                               milliseconds target, milliseconds deadline)
{
    return {id, route, priority, start_time + target, start_time + deadline};
}

/// An admission controller with `mean` as the mean execution time of `route`.
admission_controller make_admission_controller(std::uint32_t limit, const std::string& route,
                                               milliseconds mean)
{
    admission_controller state;
    state.m_limit = limit;
    state.m_service_times[route] = {mean, start_time};
    state.m_mean_service_time = mean;
    state.m_last_sample_at = start_time;
    return state;
}

} // namespace

// Guards against more requests in flight than slots: some servers never answer requests that they
// can't queue, and keep the connection open without sending anything.
TEST(admission_controller, starts_no_more_requests_than_its_limit)
{
    admission_controller state = make_admission_controller(2, "r", milliseconds(50));
    const admission_options options;
    for (std::uint64_t id = 1; id <= 5; ++id)
        admit(state, make_request(id, "r", 1, milliseconds(1000), milliseconds(2000)), start_time,
              options);
    EXPECT_EQ(state.m_running.size(), 2U);
    EXPECT_EQ(state.m_waiting.size(), 3U);
    finish_execution(state, 1, milliseconds(50), execution_outcome::succeeded, start_time, options);
    EXPECT_EQ(start_waiting_requests(state, start_time, options).size(), 1U);
    EXPECT_EQ(state.m_running.size(), 2U);
}

// Guards against calls that wait behind new requests of the same or a more urgent priority: the
// slot of the calling request stays occupied, and its work is wasted if the call fails.
TEST(admission_controller, starts_calls_before_new_requests)
{
    admission_controller state = make_admission_controller(1, "r", milliseconds(50));
    const admission_options options;
    for (std::uint64_t id = 1; id <= 3; ++id)
        admit(state, make_request(id, "r", 0, milliseconds(1000), milliseconds(2000)), start_time,
              options);
    admission_request call = make_request(4, "call", 1, milliseconds(250), milliseconds(800));
    call.m_is_call = true;
    admit(state, call, start_time, options);
    finish_execution(state, 1, milliseconds(50), execution_outcome::succeeded, start_time, options);
    const auto started = start_waiting_requests(state, start_time, options);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started.front().m_id, 4U);
}

// Guards against late requests that delay those that can still meet their target: under sustained
// overload most responses were late. Late ones wait behind the others. They are rejected at once if
// the ingress can try another gate, or if they would wait too long with the leftover capacity.
TEST(admission_controller, queues_late_requests_behind_those_that_can_meet_their_target)
{
    admission_controller state = make_admission_controller(1, "r", milliseconds(100));
    const admission_options options;
    admit(state, make_request(1, "r", 1, milliseconds(1000), milliseconds(2000)), start_time,
          options);
    admission_request late = make_request(2, "r", 1, milliseconds(-50), milliseconds(450));
    late.m_accepts_late = false;
    EXPECT_EQ(admit(state, late, start_time, options).m_admission, admission::refuse);
    late.m_accepts_late = true;
    EXPECT_EQ(admit(state, late, start_time, options).m_admission, admission::wait);
    const auto fresh = make_request(3, "r", 1, milliseconds(400), milliseconds(1500));
    const auto decision = admit(state, fresh, start_time, options);
    EXPECT_EQ(decision.m_admission, admission::wait);
    EXPECT_EQ(decision.m_predicted_wait, duration(milliseconds(100)));
    finish_execution(state, 1, milliseconds(100), execution_outcome::succeeded, start_time,
                     options);
    EXPECT_EQ(start_waiting_requests(state, start_time, options).front().m_id, 3U);
    // Another one would have to wait too long behind the others.
    late.m_id = 4;
    late.m_deadline = start_time + milliseconds(500);
    EXPECT_EQ(admit(state, late, start_time, options).m_admission, admission::refuse);
    // Nothing is left for late requests, whatever their deadline.
    for (std::uint64_t id = 5; id < 15; ++id)
        admit(state, make_request(id, "r", 1, milliseconds(400), milliseconds(1500)), start_time,
              options);
    late.m_deadline = start_time + seconds(60);
    EXPECT_EQ(admit(state, late, start_time, options).m_admission, admission::refuse);
}

// Guards against a request that has become too late in the queue and delays the next one until that
// is too late as well. The late ones follow by deadline.
TEST(admission_controller, requests_that_became_late_yield_to_others)
{
    admission_controller state = make_admission_controller(1, "r", milliseconds(100));
    const admission_options options;
    admit(state, make_request(1, "r", 1, milliseconds(1000), milliseconds(2000)), start_time,
          options);
    admit(state, make_request(2, "r", 1, milliseconds(400), milliseconds(3000)), start_time,
          options);
    admit(state, make_request(3, "r", 1, milliseconds(410), milliseconds(2500)), start_time,
          options);
    admit(state, make_request(4, "r", 1, milliseconds(600), milliseconds(3000)), start_time,
          options);
    std::vector<std::uint64_t> started;
    for (std::uint64_t id = 1; started.size() < 3; id = started.back()) {
        const time_point now = start_time + milliseconds(400);
        finish_execution(state, id, milliseconds(100), execution_outcome::succeeded, now, options);
        for (const auto& request : start_waiting_requests(state, now, options))
            started.push_back(request.m_id);
    }
    EXPECT_EQ(started, (std::vector<std::uint64_t>{4, 3, 2}));
    EXPECT_EQ(state.m_demoted_count, 2U);
}

// Guards against a queue that stays as long as the targets allow while the load exceeds the
// capacity. On a large site half of the responses were late because of it, at the same throughput.
TEST(admission_controller, keeps_the_queue_short_under_sustained_overload)
{
    admission_controller state = make_admission_controller(10, "r", milliseconds(200));
    const admission_options options;
    std::uint64_t id = 0;
    time_point now = start_time;
    std::size_t longest_in_burst = 0;
    std::size_t longest_later = 0;
    std::size_t idle_later = 0;
    // 100 requests/s arrive while the server completes 50 requests/s.
    for (int step = 0; step < 300; ++step, now += milliseconds(10)) {
        ++id;
        admit(state, {id, "r", 1, now + milliseconds(600), now + milliseconds(1500)}, now, options);
        if (step % 2 == 0 && step >= 20 && !state.m_running.empty()) {
            finish_execution(state, state.m_running.begin()->first, milliseconds(200),
                             execution_outcome::succeeded, now, options);
            start_waiting_requests(state, now, options);
        }
        if (step < 50)
            longest_in_burst = std::max(longest_in_burst, state.m_waiting.size());
        if (step >= 200) {
            longest_later = std::max(longest_later, state.m_waiting.size());
            idle_later += state.m_running.size() < state.m_limit ? 1 : 0;
        }
    }
    EXPECT_GT(longest_in_burst, 10U);
    EXPECT_LE(longest_later, 5U);
    EXPECT_EQ(idle_later, 0U);
}

// Guards against load reports that don't allow other nodes to estimate the execution time of their
// request: the routes with the longest executions are included, those not executed recently are
// not.
TEST(admission_controller, reports_its_slowest_routes_and_its_wait)
{
    admission_options options;
    options.m_max_reported_routes = 2;
    admission_controller state = make_admission_controller(1, "long", milliseconds(200));
    state.m_service_times["call"] = {milliseconds(40), start_time};
    state.m_service_times["probe"] = {milliseconds(1), start_time};
    state.m_service_times["former"] = {milliseconds(900), start_time - seconds(60)};
    admit(state, make_request(1, "long", 1, milliseconds(1000), milliseconds(2000)), start_time,
          options);
    const load_report report = make_load_report(state, true, start_time, options);
    ASSERT_EQ(report.m_route_times.size(), 2U);
    EXPECT_EQ(report.m_route_times[0].m_route, route_hash("long"));
    EXPECT_EQ(report.m_route_times[0].m_mean, duration(milliseconds(200)));
    EXPECT_EQ(report.m_route_times[1].m_route, route_hash("call"));
    EXPECT_EQ(report.m_predicted_wait, duration(milliseconds(200)));
}

// Guards against a predicted wait that adds up all running requests: with nine running requests,
// the first one in the queue starts after a ninth of an execution time, not after nine.
TEST(admission_controller, predicts_the_wait_by_completions)
{
    admission_controller state = make_admission_controller(9, "r", milliseconds(270));
    const admission_options options;
    for (std::uint64_t id = 1; id <= 9; ++id)
        admit(state, make_request(id, "r", 1, milliseconds(1000), milliseconds(2000)), start_time,
              options);
    const auto decision =
        admit(state, make_request(10, "r", 1, milliseconds(600), milliseconds(1500)), start_time,
              options);
    EXPECT_EQ(decision.m_admission, admission::wait);
    EXPECT_EQ(decision.m_predicted_wait, milliseconds(30));
}

// Guards against queueing a request that can't meet its target: it is rejected at once with a
// recommended retry delay.
TEST(admission_controller, rejects_requests_that_would_miss_their_target)
{
    admission_controller state = make_admission_controller(1, "r", milliseconds(200));
    const admission_options options;
    admit(state, make_request(1, "r", 1, milliseconds(500), milliseconds(1000)), start_time,
          options);
    const auto decision = admit(
        state, make_request(2, "r", 1, milliseconds(300), milliseconds(1000)), start_time, options);
    EXPECT_EQ(decision.m_admission, admission::refuse);
    EXPECT_EQ(decision.m_predicted_wait, milliseconds(200));
}

// Guards against rejecting the short nested calls of running requests while long requests wait: a
// rejected call wastes the execution of the request that made it.
TEST(admission_controller, short_requests_may_wait_beyond_their_target)
{
    admission_controller state = make_admission_controller(1, "long", milliseconds(200));
    state.m_service_times["short"] = {milliseconds(20), start_time};
    const admission_options options;
    admit(state, make_request(1, "long", 1, milliseconds(600), milliseconds(1500)), start_time,
          options);
    const auto decision =
        admit(state, make_request(2, "short", 1, milliseconds(150), milliseconds(500)), start_time,
              options);
    EXPECT_EQ(decision.m_admission, admission::wait);
}

// Guards against starting a request before a more urgent one under load, for example a report
// before a purchase.
TEST(admission_controller, starts_the_most_urgent_request_first)
{
    admission_controller state = make_admission_controller(1, "r", milliseconds(10));
    const admission_options options;
    admit(state, make_request(1, "r", 1, milliseconds(500), milliseconds(1000)), start_time,
          options);
    admit(state, make_request(2, "r", 2, milliseconds(300), milliseconds(1000)), start_time,
          options);
    admit(state, make_request(3, "r", 1, milliseconds(500), milliseconds(1000)), start_time,
          options);
    admit(state, make_request(4, "r", 1, milliseconds(400), milliseconds(1000)), start_time,
          options);
    finish_execution(state, 1, milliseconds(10), execution_outcome::succeeded, start_time, options);
    const auto next = start_waiting_requests(state, start_time, options);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.front().m_id, 4U);
}

// Guards against overloading a cold server: the rate limit has to hold in every interval of one
// second, not only in aligned ones.
TEST(admission_controller, limits_the_cold_rate_in_each_window)
{
    admission_controller state = make_admission_controller(100, "r", milliseconds(1));
    state.m_cold_rate_per_s = 10.0;
    const admission_options options;
    std::vector<time_point> starts;
    std::uint64_t id = 0;
    for (int ms = 0; ms < 3000; ms += 5) {
        const time_point now = start_time + milliseconds(ms);
        const admission_request request{++id, "r", 1, now + milliseconds(3000),
                                        now + milliseconds(5000)};
        if (admit(state, request, now, options).m_admission == admission::start) {
            starts.push_back(now);
            finish_execution(state, id, milliseconds(1), execution_outcome::succeeded, now,
                             options);
        }
        for (const auto& started : start_waiting_requests(state, now, options)) {
            starts.push_back(now);
            finish_execution(state, started.m_id, milliseconds(1), execution_outcome::succeeded,
                             now, options);
        }
    }
    for (std::size_t first = 0; first < starts.size(); ++first) {
        std::size_t count = 0;
        while (first + count < starts.size() && starts[first + count] - starts[first] < seconds(1))
            ++count;
        EXPECT_LE(count, 15U);
    }
    EXPECT_GE(starts.size(), 30U);
}

// Guards against keeping a waiting request whose deadline is before its predicted completion.
TEST(admission_controller, removes_waiting_requests_that_can_no_longer_be_answered)
{
    admission_controller state = make_admission_controller(1, "r", milliseconds(100));
    const admission_options options;
    admit(state, make_request(1, "r", 1, milliseconds(500), milliseconds(1000)), start_time,
          options);
    admit(state, make_request(2, "r", 1, milliseconds(500), milliseconds(600)), start_time,
          options);
    EXPECT_TRUE(
        remove_unanswerable_requests(state, start_time + milliseconds(400), options).empty());
    EXPECT_EQ(remove_unanswerable_requests(state, start_time + milliseconds(580), options).size(),
              1U);
}

// Guards against avoiding a server permanently after it was temporarily slow.
TEST(admission_controller, decays_old_execution_times)
{
    admission_controller state = make_admission_controller(1, "r", milliseconds(2000));
    const admission_options options;
    const auto fresh = expected_service_time(state, "r", start_time + seconds(1), options);
    const auto old = expected_service_time(state, "r", start_time + seconds(60), options);
    EXPECT_EQ(fresh, milliseconds(2000));
    EXPECT_LT(old, milliseconds(150));
}

} // namespace azureladder::routing
