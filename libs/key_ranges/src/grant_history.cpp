#include <azureladder/key_ranges/grant_history.hpp>

#include <algorithm>

namespace azureladder::key_ranges {

namespace {

bool overlaps(const sent_grant& grant, std::uint32_t from, std::uint32_t to)
{
    return grant.m_from <= to && from <= grant.m_to;
}

} // namespace

grant_history make_grant_history(time_point started_at)
{
    sent_grant previous;
    previous.m_sent_at = started_at;
    return {previous};
}

void record_grant(grant_history& history, std::uint64_t command_id, std::uint32_t from,
                  std::uint32_t to, time_point sent_at)
{
    history.push_back({command_id, from, to, sent_at});
}

void record_accepted_grant(grant_history& history, std::uint64_t command_id)
{
    for (auto& grant : history) {
        if (grant.m_command_id == command_id)
            grant.m_accepted = true;
    }
}

void remove_unsent_grant(grant_history& history, std::uint64_t command_id)
{
    history.erase(
        std::remove_if(history.begin(), history.end(),
                       [&](const auto& grant) { return grant.m_command_id == command_id; }),
        history.end());
}

void mark_unanswered_grants_released(grant_history& history, std::uint32_t from, std::uint32_t to)
{
    for (auto& grant : history) {
        if (!grant.m_accepted && overlaps(grant, from, to))
            grant.m_released_before_acceptance = true;
    }
}

void remove_expired_grants(grant_history& history, time_point now, const key_lease_options& options)
{
    history.erase(std::remove_if(history.begin(), history.end(),
                                 [&](const auto& grant) {
                                     return now >= lease_end(grant.m_sent_at, options);
                                 }),
                  history.end());
}

bool may_be_leased(const grant_history& history, std::uint32_t from, std::uint32_t to,
                   time_point now, const key_lease_options& options)
{
    return now < latest_lease_end(history, from, to, options);
}

bool may_be_granted_late(const grant_history& history, std::uint32_t from, std::uint32_t to,
                         time_point now, const key_lease_options& options)
{
    return std::any_of(history.begin(), history.end(), [&](const auto& grant) {
        return overlaps(grant, from, to) &&
               (!grant.m_accepted || grant.m_released_before_acceptance) &&
               now < lease_end(grant.m_sent_at, options);
    });
}

bool has_unanswered_grant_since(const grant_history& history, std::uint32_t from, std::uint32_t to,
                                time_point since)
{
    return std::any_of(history.begin(), history.end(), [&](const auto& grant) {
        return overlaps(grant, from, to) && !grant.m_accepted && grant.m_sent_at > since;
    });
}

time_point latest_lease_end(const grant_history& history, std::uint32_t from, std::uint32_t to,
                            const key_lease_options& options)
{
    time_point last;
    for (const auto& grant : history) {
        if (overlaps(grant, from, to))
            last = std::max(last, lease_end(grant.m_sent_at, options));
    }
    return last;
}

} // namespace azureladder::key_ranges
