#include "admission_refusal.hpp"

#include "admission_prediction.hpp"

#include <azureladder/routing/scaled_duration.hpp>

#include <algorithm>

namespace azureladder::routing {

admission_decision refuse(admission_controller& state, const admission_request& request,
                          duration wait, time_point now, const admission_options& options)
{
    const duration earliest =
        std::clamp(wait, options.m_min_retry_after, options.m_max_retry_after);
    if (state.m_cold_rate_per_s <= 0.0)
        return {admission::refuse, earliest};
    const duration longest =
        std::max(scaled(request.m_deadline - now, options.m_max_retry_deadline_share),
                 options.m_min_retry_after);
    duration retry_after = std::max(earliest, state.m_next_retry_at - now);
    if (retry_after > longest)
        retry_after = earliest;
    state.m_next_retry_at = now + retry_after + scaled(cold_window, 1.0 / state.m_cold_rate_per_s);
    return {admission::refuse, std::min(retry_after, longest)};
}

} // namespace azureladder::routing
