#pragma once

#include <azureladder/backend_double/work_capacity.hpp>
#include <azureladder/http/client.hpp>

#include <condition_variable>
#include <deque>
#include <thread>

namespace azureladder::backend_double {

/// Sends an announcement of the double to its sidecar process once a second.
class announcer
{
public:
    announcer(const clock& time, const backend_options& options, const work_capacity& capacity,
              const endpoint& sidecar, const endpoint& own_address);

    /// Calls `stop()`.
    ~announcer();

    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    void start();

    /// Sends one announcement immediately. Returns false when the sidecar process rejects it or
    /// does not answer.
    bool announce();

    void stop();

    /// Body of an announcement with the current state.
    json body();

private:
    struct sample
    {
        time_point m_time;
        load_report m_report;
    };

    void run();
    load_report delayed_report();

    const clock& m_clock;
    const backend_options m_options;
    const work_capacity& m_capacity;
    const endpoint m_own_address;
    const std::string m_start_id;
    http::client m_client;
    std::mutex m_mutex;
    std::condition_variable m_stopping;
    bool m_stopped = false;
    std::deque<sample> m_samples;
    std::thread m_thread;
};

} // namespace azureladder::backend_double
