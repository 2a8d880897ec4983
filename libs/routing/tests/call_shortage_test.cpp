#include <azureladder/routing/admission_controller.hpp>
#include <azureladder/routing/call_shortage.hpp>

#include <gtest/gtest.h>

#include <map>

namespace azureladder::routing {

namespace {

constexpr time_point start_time{std::chrono::seconds(100)};
constexpr duration step = milliseconds(5);

admission_controller make_gate(std::uint32_t slots, const std::string& route, duration work)
{
    admission_controller gate;
    gate.m_limit = slots;
    gate.m_service_times[route] = {work, start_time};
    gate.m_mean_service_time = work;
    gate.m_last_sample_at = start_time;
    return gate;
}

struct call_outcome
{
    std::uint32_t m_answered = 0;
    std::uint32_t m_wasted = 0;
};

/// Replays 8 s of 30 requests/s at a gate of 12 slots. Each execution takes 270 ms and makes a call
/// in its middle, at a server of 6 slots that needs 55 ms, and 440 ms from second 2 to second 5.
/// A failed call fails the execution. The calling gate gets a report each 250 ms.
call_outcome replay_slow_called_server(const call_shortage_options& shortage)
{
    const admission_options options;
    admission_controller calling = make_gate(12, "r", milliseconds(270));
    admission_controller called = make_gate(6, "call", milliseconds(55));
    std::multimap<time_point, std::uint64_t> calls_due;
    std::multimap<time_point, std::uint64_t> calls_end;
    std::multimap<time_point, std::uint64_t> ends;
    std::map<std::uint64_t, time_point> started;
    std::map<std::uint64_t, time_point> call_started;
    call_outcome outcome;
    std::uint64_t last_id = 0;
    time_point now = start_time;
    const auto begin = [&](std::uint64_t id) {
        started[id] = now;
        calls_due.emplace(now + milliseconds(135), id);
    };
    const auto begin_call = [&](std::uint64_t id) {
        const bool is_slow = now >= start_time + seconds(2) && now < start_time + seconds(5);
        call_started[id] = now;
        calls_end.emplace(now + (is_slow ? milliseconds(440) : milliseconds(55)), id);
    };
    const auto fail = [&](std::uint64_t id) {
        ++outcome.m_wasted;
        finish_execution(calling, id, {}, execution_outcome::failed, now, options);
    };
    const auto take = [&](std::multimap<time_point, std::uint64_t>& due) {
        std::vector<std::uint64_t> ids;
        for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin()))
            ids.push_back(due.begin()->second);
        return ids;
    };
    for (int at = 0; at < 2000; ++at, now += step) {
        if (at % 50 == 0) {
            const load_report report = make_load_report(called, true, now, options);
            calling.m_new_request_share = admissible_share(
                mean_call_wait({{true, report.m_limit, report.m_call_wait, {}}}, shortage),
                shortage);
        }
        for (const auto id : take(calls_end)) {
            finish_execution(called, id, now - call_started[id], execution_outcome::succeeded, now,
                             options);
            ends.emplace(now + milliseconds(135), id);
        }
        for (const auto id : take(ends)) {
            ++outcome.m_answered;
            finish_execution(calling, id, now - started[id], execution_outcome::succeeded, now,
                             options);
        }
        for (const auto& request : remove_unanswerable_requests(called, now, options))
            fail(request.m_id);
        for (const auto& request : start_waiting_requests(called, now, options))
            begin_call(request.m_id);
        for (const auto id : take(calls_due)) {
            admission_request call{id, "call", 0, now + milliseconds(250), now + milliseconds(800)};
            call.m_is_call = true;
            const auto decision = admit(called, call, now, options).m_admission;
            if (decision == admission::start)
                begin_call(id);
            else if (decision == admission::refuse)
                fail(id);
        }
        remove_unanswerable_requests(calling, now, options);
        for (const auto& request : start_waiting_requests(calling, now, options))
            begin(request.m_id);
        if (at < 1600 && at * 30 / 200 != (at + 1) * 30 / 200) {
            const std::uint64_t id = ++last_id;
            if (admit(calling, {id, "r", 1, now + milliseconds(800), now + milliseconds(3000)}, now,
                      options)
                    .m_admission == admission::start)
                begin(id);
        }
    }
    return outcome;
}

} // namespace

// Guards against executions that are started while their calls fail. Those that run when the
// shortage begins can't be saved, so at most one for each slot fails. The limit must not cost
// responses: the called server is the bottleneck either way.
TEST(call_shortage, new_requests_wait_while_their_calls_would_fail)
{
    call_shortage_options unlimited;
    unlimited.m_acceptable_wait = seconds(100);
    const call_outcome without = replay_slow_called_server(unlimited);
    const call_outcome with = replay_slow_called_server({});
    EXPECT_GT(without.m_wasted, 12U);
    EXPECT_LE(with.m_wasted, 12U);
    EXPECT_GE(with.m_answered, without.m_answered * 0.95);
}

// Guards against a gate that stops because reports are missing or old, and against calls that are
// held back together with new requests.
TEST(call_shortage, old_reports_and_calls_do_not_stop_a_gate)
{
    const call_shortage_options shortage;
    const called_server closed{false, 12, {}, milliseconds(100)};
    const called_server old{true, 12, seconds(5), milliseconds(2100)};
    EXPECT_EQ(admissible_share(mean_call_wait({}, shortage), shortage), 1.0);
    EXPECT_EQ(admissible_share(mean_call_wait({old}, shortage), shortage), 1.0);
    EXPECT_EQ(admissible_share(mean_call_wait({old, closed}, shortage), shortage), 0.0);
    admission_controller gate = make_gate(2, "r", milliseconds(100));
    gate.m_new_request_share = 0.0;
    admission_request request{1, "r", 0, start_time + seconds(1), start_time + seconds(3)};
    EXPECT_EQ(admit(gate, request, start_time, {}).m_admission, admission::refuse);
    request.m_is_call = true;
    EXPECT_EQ(admit(gate, request, start_time, {}).m_admission, admission::start);
}

} // namespace azureladder::routing
