#include "fake_backend.hpp"

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Duration of a lease on the slowest clock that the platform allows, 2 % slow, in percent.
constexpr int clock_percent = 102;

} // namespace

fake_backend::fake_backend(std::string id, std::string service, std::string address)
    : m_id(std::move(id)), m_service(std::move(service)), m_address(std::move(address))
{
}

backend_announcement fake_backend::announcement(time_point /*now*/)
{
    backend_announcement result;
    result.m_id = m_id;
    result.m_started_at_ms = m_life;
    result.m_sequence = ++m_sequence;
    result.m_address = m_address;
    result.m_service = m_service;
    result.m_slots = slots;
    result.m_draining = m_draining;
    return result;
}

key_command_ended fake_backend::grant(const grant_keys& order, time_point now)
{
    key_command_ended ended;
    ended.m_command_id = order.m_command_id;
    for (const auto& [from, held] : m_leases) {
        if (held.m_to >= order.m_from && from <= order.m_to &&
            held.m_fencing_token > order.m_token) {
            ended.m_result = key_command_result::refused;
            return ended;
        }
    }
    release_keys covered;
    covered.m_from = order.m_from;
    covered.m_to = order.m_to;
    release(covered);
    m_leases[order.m_from] = {order.m_to, order.m_token,
                              now + order.m_lease_duration * clock_percent / 100};
    ended.m_result = key_command_result::accepted;
    return ended;
}

key_command_ended fake_backend::release(const release_keys& order)
{
    std::map<std::uint32_t, hold> rest;
    for (const auto& [from, held] : m_leases) {
        if (held.m_to < order.m_from || from > order.m_to) {
            rest[from] = held;
            continue;
        }
        if (from < order.m_from)
            rest[from] = {order.m_from - 1, held.m_fencing_token, held.m_end};
        if (held.m_to > order.m_to)
            rest[order.m_to + 1] = held;
    }
    m_leases = std::move(rest);
    key_command_ended ended;
    ended.m_command_id = order.m_command_id;
    ended.m_result = key_command_result::accepted;
    ended.m_handover = "released";
    return ended;
}

bool fake_backend::holds(std::uint32_t key, time_point now) const
{
    if (!m_alive)
        return false;
    return std::any_of(m_leases.begin(), m_leases.end(), [&](const auto& held) {
        return key >= held.first && key <= held.second.m_to && now < held.second.m_end;
    });
}

std::vector<std::pair<std::uint32_t, std::uint32_t>> fake_backend::held_ranges(time_point now) const
{
    std::vector<std::pair<std::uint32_t, std::uint32_t>> result;
    for (const auto& [from, held] : m_leases) {
        if (m_alive && now < held.m_end)
            result.emplace_back(from, held.m_to);
    }
    return result;
}

bool fake_backend::accepts(const forwarded_request& request, time_point now) const
{
    return m_alive && (!request.m_key || holds(*request.m_key, now));
}

void fake_backend::restart(time_point /*now*/)
{
    m_leases.clear();
    m_running.clear();
    ++m_life;
    m_sequence = 0;
    m_alive = true;
}

void fake_backend::replace(time_point now)
{
    restart(now);
    m_id += "-" + std::to_string(m_life);
}

} // namespace azureladder::sidecar
