#include <azureladder/audit/event.hpp>

namespace azureladder::audit {

namespace {

/// Text of a field. Numbers are converted to decimal text, because ids are logged as either.
std::string text_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    if (found == line.end() || found->is_null())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Number in a field; zero when the field is absent, null or an empty string. Lines have an empty
/// string where the field does not apply, as the slice of a service that is not divided by key.
template <class Number>
Number number_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    const bool is_absent = found == line.end() || found->is_null() || *found == "";
    return is_absent ? Number() : found->get<Number>();
}

std::vector<std::string> list_of(const json& line, const char* name)
{
    const auto found = line.find(name);
    return found == line.end() ? std::vector<std::string>()
                               : found->get<std::vector<std::string>>();
}

void read_request_fields(const json& line, event& into)
{
    into.m_request_id = text_of(line, "request_id");
    into.m_service = text_of(line, "service");
    into.m_key = text_of(line, "key");
    into.m_idempotency_key = text_of(line, "idempotency_key");
    into.m_method = text_of(line, "method");
    into.m_attempt = number_of<std::uint32_t>(line, "attempt");
    into.m_status = number_of<int>(line, "status");
    into.m_role = text_of(line, "role");
    if (line.contains("executed"))
        into.m_executed = find_enum_value(executed_names, text_of(line, "executed"));
}

void read_slice_fields(const json& line, event& into)
{
    into.m_slice.m_space = text_of(line, "space");
    into.m_slice.m_index = number_of<std::uint32_t>(line, "slice");
    into.m_epoch = number_of<epoch_number>(line, "epoch");
}

void read_server_fields(const json& line, event& into)
{
    into.m_server = text_of(line, line.contains("server") ? "server" : "backend");
    into.m_zone = text_of(line, "zone");
    into.m_execution = number_of<std::uint64_t>(line, "execution");
    into.m_in_flight = number_of<std::uint32_t>(line, "in_flight");
    if (line.contains("bound"))
        into.m_concurrency_limit = number_of<std::uint32_t>(line, "bound");
}

/// Wall clock time of the end that the line has on the monotonic clock, converted by the two times
/// at which the line was written.
std::optional<std::int64_t> logged_end_us(const json& line)
{
    for (const auto* name : {"effective_mono_us", "work_end_mono_us"}) {
        if (line.contains(name))
            return number_of<std::int64_t>(line, "time_us") -
                   number_of<std::int64_t>(line, "mono_us") + number_of<std::int64_t>(line, name);
    }
    return std::nullopt;
}

std::string detail_of(const json& line)
{
    for (const auto* name : {"to", "outcome", "apply_id"}) {
        auto text = text_of(line, name);
        if (!text.empty())
            return std::string(name) + " " + text;
    }
    return {};
}

std::shared_ptr<const service_changes> changes_of(const json& line)
{
    auto changes = std::make_shared<service_changes>();
    changes->m_removed_zones = list_of(line, "removed_zones");
    changes->m_returned_zones = list_of(line, "returned_zones");
    changes->m_removed_servers = list_of(line, "removed_servers");
    changes->m_returned_servers = list_of(line, "returned_servers");
    return changes;
}

} // namespace

bool is_idempotent_method(std::string_view method)
{
    return method != "POST" && method != "PATCH";
}

std::optional<event> parse_event(const json& line)
{
    const auto kind = find_enum_value(event_kind_names, line.at("event").get<std::string>());
    if (!kind)
        return std::nullopt;
    event parsed;
    parsed.m_kind = *kind;
    parsed.m_time_us = line.at("time_us").get<std::int64_t>();
    parsed.m_node = text_of(line, "node");
    parsed.m_incarnation = text_of(line, "incarnation");
    parsed.m_revision = number_of<revision_number>(line, "revision");
    parsed.m_detail = detail_of(line);
    parsed.m_reason = text_of(line, "reason");
    parsed.m_logged_end_us = logged_end_us(line);
    read_request_fields(line, parsed);
    read_slice_fields(line, parsed);
    read_server_fields(line, parsed);
    if (*kind == event_kind::change_accepted)
        parsed.m_changes = changes_of(line);
    if (*kind == event_kind::call_finished) {
        parsed.m_echoed_request_id = text_of(line, "echoed_request_id");
        parsed.m_echoed_key = text_of(line, "echoed_key");
        parsed.m_is_complete = line.value("whole", true);
    }
    return parsed;
}

} // namespace azureladder::audit
