#include <azureladder/key_ranges/lease_rules.hpp>

namespace azureladder::key_ranges {

bool may_renew_lease(time_point confirmed_at, time_point now, const key_lease_options& options)
{
    return confirmed_at != time_point{} && now < confirmed_at + options.m_confirmation_validity;
}

time_point lease_end(time_point sent_at, const key_lease_options& options)
{
    return sent_at + options.m_lease_duration + options.m_lease_margin;
}

time_point takeover_time(time_point takeover_started_at, const key_lease_options& options)
{
    return lease_end(takeover_started_at + options.m_confirmation_validity, options);
}

} // namespace azureladder::key_ranges
