#include <azureladder/routing/call_shortage.hpp>

#include <azureladder/routing/scaled_duration.hpp>

namespace azureladder::routing {

duration mean_call_wait(const std::vector<called_server>& servers,
                        const call_shortage_options& options)
{
    bool is_known = false;
    duration wait{};
    std::int64_t slots = 0;
    for (const auto& server : servers) {
        if (server.m_report_age > options.m_max_report_age)
            continue;
        is_known = true;
        if (!server.m_open)
            continue;
        wait += server.m_call_wait * static_cast<std::int64_t>(server.m_limit);
        slots += server.m_limit;
    }
    if (!is_known)
        return duration::zero();
    return slots == 0 ? duration::max() : wait / slots;
}

double admissible_share(duration mean_wait, const call_shortage_options& options)
{
    if (mean_wait <= options.m_acceptable_wait)
        return 1.0;
    if (mean_wait == duration::max())
        return 0.0;
    return static_cast<double>(options.m_acceptable_wait.count()) /
           static_cast<double>(mean_wait.count());
}

} // namespace azureladder::routing
