#include "fake_backend.hpp"

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Duration of a lease on the slowest clock that the platform allows, 2 % slow, in percent.
constexpr int slow_clock_percent = 102;

} // namespace

fake_backend::fake_backend(std::string id, std::string service, std::string address)
    : m_id(std::move(id)), m_service(std::move(service)), m_address(std::move(address))
{
}

backend_announcement fake_backend::announcement(time_point /*now*/)
{
    backend_announcement result;
    result.m_id = m_id;
    result.m_started_at_ms = m_backend_incarnation;
    result.m_sequence = ++m_sequence;
    result.m_address = m_address;
    result.m_service = m_service;
    result.m_slots = slots;
    result.m_draining = m_draining;
    return result;
}

key_command_ended fake_backend::grant(const grant_keys& command, time_point now)
{
    key_command_ended ended;
    ended.m_command_id = command.m_command_id;
    for (const auto& [from, lease] : m_leases) {
        if (lease.m_to >= command.m_from && from <= command.m_to &&
            lease.m_fencing_token > command.m_token) {
            ended.m_result = key_command_result::refused;
            return ended;
        }
    }
    release_keys covered;
    covered.m_from = command.m_from;
    covered.m_to = command.m_to;
    release(covered);
    m_leases[command.m_from] = {command.m_to, command.m_token,
                                now + command.m_lease_duration * slow_clock_percent / 100};
    ended.m_result = key_command_result::accepted;
    return ended;
}

key_command_ended fake_backend::release(const release_keys& command)
{
    std::map<std::uint32_t, key_lease> remaining;
    for (const auto& [from, lease] : m_leases) {
        if (lease.m_to < command.m_from || from > command.m_to) {
            remaining[from] = lease;
            continue;
        }
        if (from < command.m_from)
            remaining[from] = {command.m_from - 1, lease.m_fencing_token, lease.m_end};
        if (lease.m_to > command.m_to)
            remaining[command.m_to + 1] = lease;
    }
    m_leases = std::move(remaining);
    key_command_ended ended;
    ended.m_command_id = command.m_command_id;
    ended.m_result = key_command_result::accepted;
    ended.m_handover = "released";
    return ended;
}

backend_checked fake_backend::check(const check_backend& command) const
{
    const auto result = !m_alive                       ? backend_check_result::unreachable
                        : command.m_backend_id != m_id ? backend_check_result::replaced
                        : m_draining                   ? backend_check_result::out_of_service
                                                       : backend_check_result::in_service;
    return {command.m_check, result, ""};
}

bool fake_backend::has_lease(std::uint32_t key, time_point now) const
{
    if (!m_alive)
        return false;
    return std::any_of(m_leases.begin(), m_leases.end(), [&](const auto& lease) {
        return key >= lease.first && key <= lease.second.m_to && now < lease.second.m_end;
    });
}

std::vector<std::pair<std::uint32_t, std::uint32_t>>
fake_backend::leased_ranges(time_point now) const
{
    std::vector<std::pair<std::uint32_t, std::uint32_t>> result;
    for (const auto& [from, lease] : m_leases) {
        if (m_alive && now < lease.m_end)
            result.emplace_back(from, lease.m_to);
    }
    return result;
}

bool fake_backend::accepts(const forwarded_request& request, time_point now) const
{
    return m_alive && (!request.m_key || has_lease(*request.m_key, now));
}

void fake_backend::restart(time_point /*now*/)
{
    m_leases.clear();
    m_running.clear();
    ++m_backend_incarnation;
    m_sequence = 0;
    m_alive = true;
}

void fake_backend::replace(time_point now)
{
    restart(now);
    m_id += "-" + std::to_string(m_backend_incarnation);
}

} // namespace azureladder::sidecar
