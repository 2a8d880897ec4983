#include <azureladder/backend_double/announcer.hpp>

#include <random>

namespace azureladder::backend_double {

namespace {

constexpr milliseconds announce_interval{1'000};
constexpr milliseconds announce_timeout{500};

// Interval of the load samples for delayed reports.
constexpr milliseconds sample_interval{100};

// Must differ at each start of the process, so the seed of the options is not used.
std::string new_start_id()
{
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(random());
}

} // namespace

announcer::announcer(const clock& time, const backend_options& options,
                     const work_capacity& capacity, const endpoint& sidecar,
                     const endpoint& own_address)
    : m_clock(time), m_options(options), m_capacity(capacity), m_own_address(own_address),
      m_start_id(new_start_id()), m_client(sidecar)
{
}

announcer::~announcer()
{
    stop();
}

void announcer::start()
{
    m_thread = std::thread([this] { run(); });
}

void announcer::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_stopping.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void announcer::run()
{
    auto next_announcement = m_clock.now();
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        lock.unlock();
        delayed_report();
        if (m_clock.now() >= next_announcement) {
            next_announcement = m_clock.now() + announce_interval;
            announce();
        }
        lock.lock();
        m_stopping.wait_for(lock, sample_interval, [this] { return m_stopped; });
    }
}

bool announcer::announce()
{
    http::execute_options execute;
    execute.m_timeout = announce_timeout;
    const http::request message{"POST",
                                "/_azureladder/v1/announce",
                                {{"Content-Type", "application/json"}},
                                body().dump(),
                                {}};
    const auto reply = m_client.execute(message, execute);
    return reply && reply.value().m_status < 300;
}

json announcer::body()
{
    const auto report = delayed_report();
    return {{"server", m_options.m_server},
            {"service", m_options.m_service},
            {"zone", m_options.m_zone},
            {"address", to_string(m_own_address)},
            {"start_id", m_start_id},
            {"slots", m_options.m_slots},
            {"connections", m_options.m_connections},
            {"fencing", m_options.m_checks_fencing ? "checked" : "ignored"},
            {"cold", report.m_cold},
            {"draining", report.m_draining},
            {"load", report.m_load}};
}

load_report announcer::delayed_report()
{
    const auto now = m_clock.now();
    const auto current = m_capacity.report();
    const std::lock_guard lock(m_mutex);
    m_samples.push_back({now, current});
    while (m_samples.size() > 1 && m_samples[1].m_time + m_options.m_report_lag <= now)
        m_samples.pop_front();
    // Draining is a command rather than a measurement and is announced without delay.
    return {m_samples.front().m_report.m_load, m_samples.front().m_report.m_cold,
            current.m_draining};
}

} // namespace azureladder::backend_double
