#include "request_text.hpp"

#include <azureladder/base/enum_names.hpp>

namespace azureladder::load {

namespace {

constexpr int first_success = 200;
constexpr int first_redirect = 300;

void add_header(std::string& text, const char* name, const std::string& value)
{
    if (!value.empty())
        text += std::string(name) + ": " + value + "\r\n";
}

std::string text_field(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::string request_text(const load_settings& settings, const call& issued)
{
    const auto& service = settings.m_services[issued.m_plan.m_service];
    const auto& method = service.m_methods[issued.m_plan.m_method].m_method;
    const auto& target = settings.m_targets[issued.m_plan.m_target];
    const bool has_body = method == "POST" || method == "PUT" || method == "PATCH";
    auto text = method + " /" + service.m_name + service.m_path + " HTTP/1.1\r\n";
    add_header(text, "Host", to_string(target));
    add_header(text, "Request-Id", issued.m_request_id);
    add_header(text, "Request-Timeout-Ms", std::to_string(to_ms(service.m_timeout)));
    add_header(text, "Azureladder-Key", issued.m_plan.m_key);
    add_header(text, "Azureladder-Class", issued.m_plan.m_class);
    add_header(text, "Azureladder-Customer", issued.m_plan.m_customer);
    add_header(text, "Idempotency-Key", issued.m_idempotency_key);
    if (has_body)
        add_header(text, "Content-Length", std::to_string(service.m_body_bytes));
    text += "\r\n";
    if (has_body)
        text.append(service.m_body_bytes, 'x');
    return text;
}

call_outcome outcome_of(exchange_state state, const http_reply& reply)
{
    call_outcome outcome;
    if (state != exchange_state::complete) {
        outcome.m_name = state == exchange_state::lost ? "connection_lost" : "truncated";
        return outcome;
    }
    const bool is_success = reply.m_status >= first_success && reply.m_status < first_redirect;
    const auto body = json::parse(reply.m_body, nullptr, false);
    const auto executed_by_header = find_enum_value(executed_names, reply.m_executed);
    outcome.m_status = reply.m_status;
    outcome.m_is_complete = body.is_object();
    outcome.m_executed =
        executed_by_header.value_or(is_success ? executed::yes : executed::unknown);
    outcome.m_name = is_success ? "ok" : "http_" + std::to_string(reply.m_status);
    if (!body.is_object())
        return outcome;
    if (!is_success && !text_field(body, "error").empty())
        outcome.m_name = text_field(body, "error");
    outcome.m_server = text_field(body, "server");
    outcome.m_echoed_request_id = text_field(body, "request_id");
    outcome.m_echoed_key = text_field(body, "key");
    return outcome;
}

} // namespace azureladder::load
