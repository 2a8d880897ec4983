#include <azureladder/sidecar_runtime/node_runtime.hpp>

#include "node_runtime_impl.hpp"

namespace azureladder::sidecar_runtime {

node_runtime::node_runtime(const sidecar_settings& settings, std::string settings_path,
                           const protocol_codec& codec, const clock& time)
    : m_impl(std::make_unique<impl>(settings, std::move(settings_path), codec, time))
{
}

node_runtime::~node_runtime() = default;

void node_runtime::run()
{
    m_impl->run();
}

} // namespace azureladder::sidecar_runtime
