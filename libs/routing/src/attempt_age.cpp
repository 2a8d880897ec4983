#include <azureladder/routing/attempt_age.hpp>

namespace azureladder::routing {

duration attempt_age(deadline_history& history, duration remaining,
                     const attempt_age_options& options)
{
    if (remaining > history.m_longest_remaining + options.m_tolerance)
        history = {remaining};
    const duration age = history.m_longest_remaining - remaining;
    const bool is_first = age <= options.m_tolerance;
    history.m_longest_share +=
        options.m_sample_weight * ((is_first ? 1.0 : 0.0) - history.m_longest_share);
    ++history.m_requests_since_longest;
    if (history.m_requests_since_longest >= options.m_reset_after_requests &&
        history.m_longest_share < options.m_reset_share)
        history = {};
    if (is_first || history.m_longest_share < options.m_min_longest_share)
        return duration::zero();
    return age;
}

} // namespace azureladder::routing
