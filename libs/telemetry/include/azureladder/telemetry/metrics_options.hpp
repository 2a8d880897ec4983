#pragma once

#include <cstddef>

namespace azureladder::telemetry {

/// Cardinality limits, which bound the memory of metrics: callers choose the names of customers
/// and, in requests that fail, of services. Names beyond a limit are counted as "other".
struct metrics_options
{
    std::size_t m_max_customers = 256;
    std::size_t m_max_services = 64;
};

} // namespace azureladder::telemetry
