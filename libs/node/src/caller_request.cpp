#include "caller_request.hpp"

#include <azureladder/base/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

namespace azureladder::node {

namespace {

constexpr std::size_t max_key_bytes = 512;
constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_customer_bytes = 128;
constexpr std::int64_t max_timeout_ms = 600'000;

using check_result = result<void, caller_error>;

std::string to_lower(std::string_view text)
{
    std::string copy(text);
    std::transform(copy.begin(), copy.end(), copy.begin(),
                   [](unsigned char c) { return char(std::tolower(c)); });
    return copy;
}

bool is_visible_ascii(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string header_or_empty(const http::request& input, const char* name)
{
    const auto* value = http::find_header(input.m_headers, name);
    return value == nullptr ? std::string() : *value;
}

bool is_idempotent_method(const std::string& method)
{
    constexpr std::array<std::string_view, 5> methods = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

/// Splits "/service/path?query" into the service and "/path?query".
bool split_target(const std::string& target, std::string& service, std::string& rest)
{
    if (target.size() < 2 || target.front() != '/')
        return false;
    const auto end = target.find_first_of("/?", 1);
    service = target.substr(1, end == std::string::npos ? end : end - 1);
    rest = end == std::string::npos ? "/" : target.substr(end);
    if (rest.front() == '?')
        rest.insert(rest.begin(), '/');
    return !service.empty();
}

caller_error make_caller_error(const core::request_info& info, core::error_code code,
                               std::string message)
{
    return {code, std::move(message), info.m_request_id};
}

check_result read_request_id(const http::request& input, const std::string& new_request_id,
                             core::request_info& info)
{
    auto id = header_or_empty(input, "Request-Id");
    if (id.size() > max_id_bytes || !is_visible_ascii(id))
        return make_caller_error(info, core::error_code::bad_request,
                                 "Request-Id must have at most 128 visible ASCII characters");
    if (id.empty())
        id = new_request_id;
    info.m_request_id = std::move(id);
    return success();
}

check_result read_timeout(const http::request& input, core::request_info& info)
{
    const auto text = header_or_empty(input, "Request-Timeout-Ms");
    if (text.empty())
        return success();
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!whole || value < 1 || value > max_timeout_ms)
        return make_caller_error(info, core::error_code::bad_deadline,
                                 "Request-Timeout-Ms must be a whole number from 1 to 600000");
    info.m_timeout = milliseconds(value);
    return success();
}

check_result read_identity(const http::request& input, core::request_info& info)
{
    info.m_key = header_or_empty(input, "Azureladder-Key");
    if (info.m_key.size() > max_key_bytes)
        return make_caller_error(info, core::error_code::bad_request,
                                 "Azureladder-Key must have at most 512 bytes");
    info.m_idempotency_key = header_or_empty(input, "Idempotency-Key");
    if (info.m_idempotency_key.size() > max_id_bytes)
        return make_caller_error(info, core::error_code::bad_request,
                                 "Idempotency-Key must have at most 128 characters");
    info.m_customer = header_or_empty(input, "Azureladder-Customer");
    if (info.m_customer.size() > max_customer_bytes)
        return make_caller_error(info, core::error_code::bad_request,
                                 "Azureladder-Customer must have at most 128 characters");
    const auto class_name = header_or_empty(input, "Azureladder-Class");
    if (class_name.empty())
        return success();
    const auto value = find_enum_value(request_class_names, class_name);
    if (!value)
        return make_caller_error(info, core::error_code::bad_request,
                                 "Azureladder-Class must be interactive, standard or batch");
    info.m_class = *value;
    return success();
}

void append_id_headers(http::response& answer, const std::string& request_id, executed state)
{
    answer.m_headers.push_back({"Request-Id", request_id});
    answer.m_headers.push_back({"Azureladder-Executed", std::string(to_string(state))});
}

} // namespace

bool is_hop_by_hop(const std::string& name)
{
    static constexpr std::array<std::string_view, 10> names = {
        "connection", "keep-alive", "proxy-connection", "te",     "trailer",
        "upgrade",    "host",       "content-length",   "expect", "transfer-encoding"};
    return std::find(names.begin(), names.end(), to_lower(name)) != names.end();
}

result<caller_request, caller_error> parse_caller_request(const http::request& input,
                                                          const std::string& new_request_id)
{
    caller_request output;
    auto& info = output.m_info;
    BOOST_OUTCOME_TRYV(read_request_id(input, new_request_id, info));
    if (!split_target(input.m_target, info.m_service, output.m_forwarded.m_target))
        return make_caller_error(info, core::error_code::bad_request,
                                 "the path must be /<service>/<path>");
    BOOST_OUTCOME_TRYV(read_timeout(input, info));
    BOOST_OUTCOME_TRYV(read_identity(input, info));
    info.m_idempotent = is_idempotent_method(input.m_method);
    output.m_forwarded.m_method = input.m_method;
    output.m_forwarded.m_body = input.m_body;
    for (const auto& field : input.m_headers) {
        if (!is_hop_by_hop(field.m_name) && to_lower(field.m_name) != "request-id")
            output.m_forwarded.m_headers.push_back(field);
    }
    return output;
}

http::response error_response(core::error_code code, const std::string& message,
                              const std::string& request_id, executed state, duration retry_after)
{
    const json body = {{"error", to_string(code)},
                       {"message", message},
                       {"executed", to_string(state)},
                       {"request_id", request_id},
                       {"retry_after_ms", to_ms(retry_after)}};
    http::response answer;
    answer.m_status = core::http_status_for(code);
    answer.m_headers.push_back({"Content-Type", "application/json"});
    append_id_headers(answer, request_id, state);
    answer.m_body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return answer;
}

// A backend server that aborts a request, for example at its deadline, sets the header to
// "unknown".
executed reported_execution(const http::response& reply)
{
    const auto* value = http::find_header(reply.m_headers, "Azureladder-Executed");
    const bool unknown = value != nullptr && *value == to_string(executed::unknown);
    return unknown ? executed::unknown : executed::yes;
}

void copy_small_reply(const http::response& reply, std::size_t limit,
                      core::attempt_finished& finished)
{
    if (reply.m_body.size() > limit)
        return;
    const auto* type = http::find_header(reply.m_headers, "Content-Type");
    finished.m_has_reply = true;
    finished.m_content_type = type == nullptr ? std::string() : *type;
    finished.m_body = reply.m_body;
}

http::response reply_response(http::response reply, const std::string& request_id)
{
    const auto state = reported_execution(reply);
    http::response answer;
    answer.m_status = reply.m_status;
    answer.m_body = std::move(reply.m_body);
    for (auto& field : reply.m_headers) {
        const auto name = to_lower(field.m_name);
        const bool replaced = name == "request-id" || name == "azureladder-executed" ||
                              name == "date" || name == "server";
        if (!replaced && !is_hop_by_hop(name))
            answer.m_headers.push_back(std::move(field));
    }
    append_id_headers(answer, request_id, state);
    return answer;
}

} // namespace azureladder::node
