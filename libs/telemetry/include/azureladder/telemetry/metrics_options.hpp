#pragma once

#include <cstddef>

namespace azureladder::telemetry {

/// Limits of the memory of metrics. Callers choose customers and, in requests that fail, services;
/// names beyond a limit are counted as "other".
struct metrics_options
{
    std::size_t m_max_customers = 256;
    std::size_t m_max_services = 64;
};

} // namespace azureladder::telemetry
