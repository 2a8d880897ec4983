#include "ownership_internal.hpp"

namespace azureladder::core {

void log_event(effects& output, log_level level, const char* name, json fields)
{
    output.push_back(write_log{level, name, std::move(fields)});
}

json slice_fields(const slice_id& slice, epoch_number epoch, const std::string& reason)
{
    return {
        {"space", slice.m_space}, {"slice", slice.m_index}, {"epoch", epoch}, {"reason", reason}};
}

std::string member_text(const member_id& member)
{
    return member.m_node + "/" + std::to_string(member.m_incarnation);
}

} // namespace azureladder::core
