#include <azureladder/routing/attempt_age.hpp>

namespace azureladder::routing {

duration attempt_age(deadline_history& history, duration remaining,
                     const attempt_age_options& options)
{
    if (remaining > history.m_longest + options.m_tolerance)
        history = {remaining};
    const duration age = history.m_longest - remaining;
    const bool is_first = age <= options.m_tolerance;
    history.m_share += options.m_weight * ((is_first ? 1.0 : 0.0) - history.m_share);
    ++history.m_requests;
    if (history.m_requests >= options.m_forget_after && history.m_share < options.m_forget_share)
        history = {};
    if (is_first || history.m_share < options.m_min_share)
        return duration::zero();
    return age;
}

} // namespace azureladder::routing
