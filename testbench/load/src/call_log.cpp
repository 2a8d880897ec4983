#include "call_log.hpp"

namespace azureladder::load {

call_log::call_log(const load_settings& settings, const clock& time, const std::string& path)
    : m_settings(settings), m_clock(time), m_path(path)
{
    if (!path.empty())
        m_output.open(path, std::ios::trunc);
}

json call_log::line(const char* event, const call& issued) const
{
    return {{"time_us", m_clock.wall_time_us()},
            {"mono_us", to_us(m_clock.now())},
            {"node", m_settings.m_id_prefix},
            {"incarnation", m_settings.m_seed},
            {"event", event},
            {"request_id", issued.m_request_id}};
}

void call_log::started(const call& issued)
{
    if (m_path.empty())
        return;
    const auto& service = m_settings.m_services[issued.m_plan.m_service];
    auto fields = line("call_started", issued);
    fields["service"] = service.m_name;
    fields["key"] = issued.m_plan.m_key;
    fields["method"] = service.m_methods[issued.m_plan.m_method].m_method;
    fields["class"] = issued.m_plan.m_class;
    fields["scheduled_mono_us"] = to_us(issued.m_scheduled);
    if (!issued.m_plan.m_customer.empty())
        fields["customer"] = issued.m_plan.m_customer;
    if (!issued.m_idempotency_key.empty())
        fields["idempotency_key"] = issued.m_idempotency_key;
    if (issued.m_repeat > 0)
        fields["repeat"] = issued.m_repeat;
    m_output << fields.dump() << '\n';
}

void call_log::finished(const call& issued, const call_outcome& outcome)
{
    if (m_path.empty())
        return;
    auto fields = line("call_finished", issued);
    fields["outcome"] = outcome.m_name;
    fields["status"] = outcome.m_status;
    fields["executed"] = to_string(outcome.m_executed);
    fields["server"] = outcome.m_server;
    fields["echoed_request_id"] = outcome.m_echoed_request_id;
    fields["echoed_key"] = outcome.m_echoed_key;
    fields["whole"] = outcome.m_is_complete;
    m_output << fields.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
}

} // namespace azureladder::load
