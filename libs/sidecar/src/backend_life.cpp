#include "step_context.hpp"

namespace azureladder::sidecar {

std::string life_of(const backend_announcement& announcement)
{
    return announcement.m_id + '#' + std::to_string(announcement.m_born_ms);
}

std::string local_life(const node_state& state)
{
    return state.m_backend ? life_of(state.m_backend->m_announcement) : std::string();
}

void on_backend_removed(step_context& context, const std::string& id)
{
    node_state& state = context.m_state;
    if (!state.m_backend || state.m_backend->m_announcement.m_id != id)
        return;
    state.m_ended_lives[id] = state.m_backend->m_announcement.m_born_ms;
    if (!state.m_backend->m_leaving) {
        state.m_backend->m_leaving = true;
        state.m_backend->m_leaving_since = context.m_now;
        log(context, log_level::info, "backend_leaving",
            {{"backend", id}, {"cause", "removed without notice"}});
    }
    broadcast_status(context);
}

} // namespace azureladder::sidecar
