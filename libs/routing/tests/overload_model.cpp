#include "overload_model.hpp"

#include <azureladder/routing/scaled_duration.hpp>

#include <algorithm>
#include <map>

namespace azureladder::routing {

namespace {

constexpr time_point start_time{std::chrono::seconds(100)};
constexpr duration step = milliseconds(5);

struct caller
{
    time_point m_target;
    time_point m_deadline;
    std::uint32_t m_retries_left = 0;
};

class queue_model
{
public:
    queue_model(const modelled_load& load, const admission_options& options)
        : m_load(load), m_options(options)
    {
        m_gate.m_limit = load.m_slots;
        m_gate.m_service_times["r"] = {load.m_work, start_time};
        m_gate.m_mean_service_time = load.m_work;
        m_gate.m_last_sample_at = start_time;
    }

    modelled_outcome run()
    {
        double due = 0.0;
        const time_point end = start_time + m_load.m_length;
        for (time_point now = start_time; now < end + m_load.m_deadline; now += step) {
            if (m_load.m_cold_rate_per_s)
                m_gate.m_cold_rate_per_s = m_load.m_cold_rate_per_s(now - start_time);
            finish(now);
            if (now < end)
                due += m_load.m_arrivals_per_s(now - start_time) *
                       std::chrono::duration<double>(step).count();
            for (; due >= 1.0; due -= 1.0)
                arrive({now + m_load.m_target, now + m_load.m_deadline, m_load.m_retries}, false,
                       now);
            while (!m_retries.empty() && m_retries.begin()->first <= now) {
                const caller returned = m_retries.begin()->second;
                m_retries.erase(m_retries.begin());
                arrive(returned, true, now);
            }
        }
        return m_outcome;
    }

private:
    void arrive(const caller& who, bool is_retry, time_point now)
    {
        const std::uint64_t id = ++m_last_id;
        const auto decision =
            admit(m_gate, {id, "r", 1, who.m_target, who.m_deadline, is_retry}, now, m_options);
        if (decision.m_admission == admission::refuse) {
            refuse(who, decision.m_predicted_wait, now);
            return;
        }
        m_callers[id] = who;
        if (decision.m_admission == admission::start)
            begin(id, now);
    }

    void refuse(const caller& who, duration retry_after, time_point now)
    {
        ++m_outcome.m_refusals;
        if (who.m_retries_left == 0 || retry_after > (who.m_deadline - now) / 3) {
            ++m_outcome.m_refused;
            return;
        }
        const time_point due = now + retry_after;
        m_retries.emplace(due, caller{who.m_target, who.m_deadline, who.m_retries_left - 1});
        const auto at_once = static_cast<std::uint32_t>(
            std::distance(m_retries.lower_bound(due - milliseconds(50)),
                          m_retries.lower_bound(due + milliseconds(50))));
        m_outcome.m_most_retries_at_once = std::max(m_outcome.m_most_retries_at_once, at_once);
    }

    void begin(std::uint64_t id, time_point now)
    {
        // A linear congruential generator: the same load in each run.
        m_random = m_random * 6364136223846793005U + 1442695040888963407U;
        const double spread = 0.5 + static_cast<double>(m_random >> 40) / (1U << 24);
        const bool is_slow = (now - start_time) / milliseconds(400) % 5 == 4;
        const double slowdown = m_load.m_slowdown ? m_load.m_slowdown(now - start_time) : 1.0;
        m_ends.emplace(now + scaled(m_load.m_work, spread * slowdown * (is_slow ? 2.1 : 0.7)),
                       std::make_pair(id, now));
    }

    void finish(time_point now)
    {
        while (!m_ends.empty() && m_ends.begin()->first <= now) {
            const auto [end, execution] = *m_ends.begin();
            const auto [id, started] = execution;
            m_ends.erase(m_ends.begin());
            finish_execution(m_gate, id, end - started, execution_outcome::succeeded, now,
                             m_options);
            const caller& who = m_callers.at(id);
            ++(end <= who.m_target     ? m_outcome.m_in_time
               : end <= who.m_deadline ? m_outcome.m_late
                                       : m_outcome.m_refused);
        }
        for (const auto& request : remove_unanswerable_requests(m_gate, now, m_options))
            refuse(m_callers.at(request.m_id), m_options.m_min_retry_after, now);
        for (const auto& request : start_waiting_requests(m_gate, now, m_options))
            begin(request.m_id, now);
    }

    const modelled_load& m_load;
    const admission_options& m_options;
    admission_controller m_gate;
    modelled_outcome m_outcome;
    std::map<std::uint64_t, caller> m_callers;
    std::multimap<time_point, caller> m_retries;
    std::multimap<time_point, std::pair<std::uint64_t, time_point>> m_ends;
    std::uint64_t m_last_id = 0;
    std::uint64_t m_random = 1;
};

} // namespace

modelled_outcome replay(const modelled_load& load, const admission_options& options)
{
    return queue_model(load, options).run();
}

} // namespace azureladder::routing
