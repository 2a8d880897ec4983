#pragma once

#include <azureladder/base/time.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace azureladder::backend_double {

/// Slice of a request or grant. Both parts are compared as text, as received.
using slice_id = std::pair<std::string, std::string>;

/// Lease and grants received from the sidecar process. Thread safe.
class fencing_table
{
public:
    /// Replaces the lease. It ends at `expires`.
    void set_lease(const std::string& incarnation, time_point expires);

    /// End of the lease; the earliest time point when there is none.
    time_point lease_end() const;

    /// Grants or revokes a slice. Returns false for an epoch below the highest one received, as in
    /// a delayed message from a former owner.
    bool set_grant(const slice_id& slice, std::uint64_t epoch, bool revoked);

    /// Revokes a slice at the epoch that was granted last.
    void revoke(const slice_id& slice);

    /// True when `slice` is granted with exactly `epoch`.
    bool is_granted(const slice_id& slice, std::uint64_t epoch) const;

private:
    struct grant
    {
        std::uint64_t m_epoch = 0;
        bool m_revoked = false;
    };

    mutable std::mutex m_mutex;
    std::string m_incarnation;
    time_point m_lease_end = time_point::min();
    std::map<slice_id, grant> m_grants;
};

} // namespace azureladder::backend_double
