#pragma once

#include <azureladder/backend_double/work_capacity.hpp>
#include <azureladder/http/client.hpp>

#include <condition_variable>
#include <deque>
#include <thread>

namespace azureladder::backend_double {

/// Announces the double to its sidecar process each second.
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

    /// Sends one announcement at once. False when the sidecar process did not accept it.
    bool announce();

    void stop();

    /// Body of an announcement at the present time.
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
