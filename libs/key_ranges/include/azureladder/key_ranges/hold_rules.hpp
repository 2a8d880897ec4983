#pragma once

#include <azureladder/base/time.hpp>

namespace azureladder::key_ranges {

struct hold_options
{
    /// Time for which a table revision stays confirmed after a read of the store began. Longer
    /// outages of the store stop keyed services; shorter values make takeovers faster.
    duration m_confirmation_validity = milliseconds(6000);

    /// Time for which a backend server holds a granted range.
    duration m_hold_time = milliseconds(2500);

    /// Time between two renewals: three fit into one hold.
    duration m_renew_interval = milliseconds(700);

    /// Longest time that the clock of a backend server, up to 2 % slow, takes for one hold, and
    /// the time for which an order may be under way.
    duration m_hold_slack = milliseconds(350);
};

/// Whether a hold may be renewed now by an owner whose table was last confirmed at `confirmed_at`.
bool may_renew(time_point confirmed_at, time_point now, const hold_options& options);

/// When a grant sent at `sent_at` has ended on the backend server's clock.
time_point hold_end(time_point sent_at, const hold_options& options);

/// When the holds of a former owner have ended after a claim that was answered at `claimed_at`.
time_point takeover_time(time_point claimed_at, const hold_options& options);

} // namespace azureladder::key_ranges
