#include <azureladder/sidecar/node_options.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

/// Time between the last accepted request and the end of the process, in which the request can
/// complete. Half of the stop time if that is shorter.
constexpr duration completion_time = milliseconds(2600);

} // namespace

void set_max_stop_time(node_options& options, duration max_stop_time)
{
    const node_options defaults;
    options.m_max_stop_time = max_stop_time;
    options.m_min_stop_time = std::min(defaults.m_min_stop_time, max_stop_time);
    options.m_stop_admission_window =
        std::min(defaults.m_stop_admission_window,
                 max_stop_time - std::min(completion_time, max_stop_time / 2));
}

} // namespace azureladder::sidecar
