#include <azureladder/routing/body_transfers.hpp>

#include <azureladder/routing/scaled_duration.hpp>

#include <algorithm>
#include <cmath>

namespace azureladder::routing {

namespace {

constexpr double max_transfer_s = 3600.0;

} // namespace

duration body_transfer_time(std::size_t bytes, const body_transfer_options& options)
{
    if (options.m_bytes_per_s <= 0.0)
        return duration::zero();
    const double transfer_s = static_cast<double>(bytes) / options.m_bytes_per_s;
    return scaled(seconds(1), std::min(transfer_s, max_transfer_s));
}

bool may_request_body(const body_load& load, std::size_t bytes,
                      const body_transfer_options& options)
{
    const bool fits_in_memory = load.m_memory == 0 || load.m_memory + bytes <= options.m_max_bytes;
    const bool fits_on_link =
        load.m_in_transfer == 0 ||
        body_transfer_time(load.m_in_transfer + bytes, options) <= options.m_max_transfer_time;
    return fits_in_memory && fits_on_link;
}

std::size_t body_prefetch_count(const body_load& load, std::size_t bytes, std::uint32_t slots,
                                duration service_time, const body_transfer_options& options)
{
    const duration arrival =
        options.m_request_time + body_transfer_time(load.m_in_transfer + bytes, options);
    const auto service_us = static_cast<double>(std::max(service_time, duration(1)).count());
    const double starts = slots * static_cast<double>(arrival.count()) / service_us;
    return static_cast<std::size_t>(std::ceil(std::min(starts, static_cast<double>(slots))));
}

bool is_body_backlog_too_long(const admission_request& request, std::size_t backlog,
                              std::size_t bytes, duration service_time, time_point now,
                              const admission_options& admission,
                              const body_transfer_options& options)
{
    if (backlog == 0)
        return false;
    const duration end = body_transfer_time(backlog + bytes, options) + service_time;
    const duration allowed =
        request.m_is_retry
            ? std::max(scaled(request.m_deadline - now, admission.m_late_max_deadline_share),
                       scaled(request.m_target - now, admission.m_max_target_share))
            : scaled(request.m_target - now, admission.m_max_target_share);
    return end > allowed;
}

} // namespace azureladder::routing
