#pragma once

#include <azureladder/backend_double/backend_options.hpp>
#include <azureladder/base/clock.hpp>
#include <azureladder/base/json.hpp>

#include <condition_variable>
#include <mutex>
#include <random>

namespace azureladder::backend_double {

/// Admission decision for a request.
struct admission
{
    /// Reason of the refusal; null when the request is admitted.
    const char* m_refusal = nullptr;

    /// Requests in execution, this one included.
    unsigned m_in_flight = 0;

    /// Concurrent requests that the double currently handles at normal speed.
    unsigned m_bound = 0;

    /// The request exceeds the bound of the cold start.
    bool m_overload = false;
    duration m_service_time{0};
};

/// State reported in announcements.
struct load_report
{
    double m_load = 0.0;
    bool m_cold = false;
    bool m_draining = false;
};

/// Slots, cold start, shedding and service times. Thread safe.
class work_capacity
{
public:
    work_capacity(const clock& time, const backend_options& options);

    /// Admits or refuses a request. `leave()` must be called for each admitted request.
    admission admit();
    void release();

    /// Takes `drain`, `shed` and `cold` (bool), `cold_ms`, `service_time_ms`, `slots`, `cold_slots`
    /// (number), `slow_factor` (number) and `report_load` (number or null) from `settings`. False
    /// when a field has the wrong type or an unknown name; then nothing changes.
    bool apply(const json& settings);

    /// Refuses all further requests.
    void drain();

    /// Blocks until no request is in execution.
    void wait_until_idle();
    load_report report() const;

private:
    bool is_cold(time_point now) const { return now < m_cold_until; }
    void apply_cold(const json& settings);
    duration next_service_time(bool overload);

    const clock& m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::mt19937_64 m_random;
    unsigned m_slots;
    unsigned m_cold_slots;
    milliseconds m_cold;
    milliseconds m_service_time;
    double m_service_jitter;
    std::optional<double> m_report_load;
    time_point m_cold_until;
    double m_slow_factor = 1.0;
    unsigned m_in_flight = 0;
    bool m_draining = false;
    bool m_shedding = false;
};

} // namespace azureladder::backend_double
