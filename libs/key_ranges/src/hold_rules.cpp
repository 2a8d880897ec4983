#include <azureladder/key_ranges/hold_rules.hpp>

namespace azureladder::key_ranges {

bool may_renew(time_point confirmed_at, time_point now, const hold_options& options)
{
    return confirmed_at != time_point{} && now < confirmed_at + options.m_confirmation_validity;
}

time_point lease_end(time_point sent_at, const hold_options& options)
{
    return sent_at + options.m_hold_time + options.m_lease_margin;
}

time_point takeover_time(time_point claimed_at, const hold_options& options)
{
    return lease_end(claimed_at + options.m_confirmation_validity, options);
}

} // namespace azureladder::key_ranges
