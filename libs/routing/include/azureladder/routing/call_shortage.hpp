#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <vector>

namespace azureladder::routing {

/// Load pattern: the servers of a called service are at capacity, while the gates of the calling
/// service go on to start requests. Their calls wait or fail, and a failed call wastes the
/// execution that made it. So a calling gate uses only a share of its slots for new requests.
struct call_shortage_options
{
    /// Age of a load report above which it says nothing.
    duration m_max_report_age = seconds(2);

    /// Mean wait of calls up to which all slots are used. Below the targets of calls (200 to 250
    /// ms). With 100 ms, requests were refused whose calls would have been answered; from 200 ms
    /// on, more executions than slots fail when a called service slows down.
    duration m_acceptable_wait = milliseconds(150);

    /// Calls per execution below which a called service is not considered: most executions succeed
    /// without it.
    double m_min_calls = 0.3;
};

/// Server of a called service, as last reported.
struct called_server
{
    bool m_open = false;
    std::uint32_t m_limit = 0;

    /// Predicted wait of a call.
    duration m_call_wait{};
    duration m_report_age{};
};

/// Mean wait of calls at the servers that are open, weighted by slots: zero if there is no recent
/// report, `duration::max()` if the recent reports name no open server.
duration mean_call_wait(const std::vector<called_server>& servers,
                        const call_shortage_options& options);

/// Share of the slots of a calling gate for new requests, 0 to 1. It decreases in proportion to the
/// wait, because all gates get similar reports and would otherwise stop and start together.
double admissible_share(duration mean_wait, const call_shortage_options& options);

} // namespace azureladder::routing
