#pragma once

#include <azureladder/base/time.hpp>

#include <cstddef>

namespace azureladder::sidecar_runtime {

/// Limits the bulk data that all peer connections of a node send together to a share of its link.
/// The queue of the link is common to all connections, so without the limit a document for
/// hundreds of peers would delay the requests of other connections by seconds.
struct bulk_pacer
{
    /// Limit in bytes a second; 0 for none.
    double m_bytes_per_s = 0.0;

    /// Bytes that may be sent now; negative after a burst.
    double m_bytes = 0.0;
    time_point m_updated_at;
};

/// Pacer for a link of this rate in Mbit/s; 0 for no limit.
bulk_pacer make_bulk_pacer(double link_mbps);

/// Whether bulk data may be sent now.
bool may_send_bulk(bulk_pacer& pacer, time_point now);

/// Records that bulk data was sent.
void record_bulk(bulk_pacer& pacer, std::size_t bytes);

} // namespace azureladder::sidecar_runtime
