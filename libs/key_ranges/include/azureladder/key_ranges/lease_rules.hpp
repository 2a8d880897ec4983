#pragma once

#include <azureladder/base/time.hpp>

namespace azureladder::key_ranges {

struct key_lease_options
{
    /// Time after the start of a store read for which the table revision it returned counts as
    /// confirmed. Store outages longer than this stop sharded services; shorter values make
    /// takeovers faster.
    duration m_confirmation_validity = milliseconds(6000);

    /// Duration of the lease that a grant gives to the backend server.
    duration m_lease_duration = milliseconds(2500);

    /// Interval between two renewals; three of them fit into one lease duration.
    duration m_renew_interval = milliseconds(700);

    /// Margin that is added to the lease duration: it covers the error of a backend server's clock
    /// that is up to 2 % slow and the time that a grant may take to arrive.
    duration m_lease_margin = milliseconds(350);
};

/// Whether an owner whose table was last confirmed at `confirmed_at` may renew leases now.
bool may_renew_lease(time_point confirmed_at, time_point now, const key_lease_options& options);

/// Time at which the lease of a grant sent at `sent_at` has expired by the backend server's clock.
time_point lease_end(time_point sent_at, const key_lease_options& options);

/// Time at which all leases of the previous owner have expired, for a takeover that has been in the
/// store since `takeover_started_at` at the latest.
time_point takeover_time(time_point takeover_started_at, const key_lease_options& options);

} // namespace azureladder::key_ranges
