#include <azureladder/store_double/store_service.hpp>

#include <azureladder/testbench/json_http.hpp>

#include <algorithm>
#include <thread>

namespace azureladder::store_double {

namespace {

using testbench::json_response;

constexpr std::string_view key_prefix = "/v1/kv/";
constexpr std::string_view lease_prefix = "/v1/leases";
constexpr std::string_view control_prefix = "/control";

/// Largest value that the store accepts.
constexpr std::size_t max_value_bytes = 1'000'000;
constexpr std::uint64_t max_wait_ms = 60'000;
constexpr std::uint64_t max_ttl_ms = 3'600'000;

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

http::response error_response(int status, const std::string& message)
{
    return json_response(status, {{"error", message}});
}

/// Name of a call in the counts; empty for an unknown call.
std::string call_name(const http::request& message)
{
    const auto path = testbench::path_of(message.m_target);
    const auto& method = message.m_method;
    if (starts_with(path, key_prefix) && path.size() > key_prefix.size()) {
        if (method == "PUT")
            return "write";
        if (method == "GET")
            return testbench::query_value(message.m_target, "after") ? "watch" : "read";
    }
    if (path == lease_prefix && method == "POST")
        return "lease_create";
    if (starts_with(path, lease_prefix) && path.size() > lease_prefix.size() + 1)
        return method == "PUT" ? "lease_renew" : method == "DELETE" ? "lease_end" : "";
    return "";
}

call_kind kind_of(const std::string& call)
{
    if (call == "read" || call == "watch")
        return call_kind::read;
    return call == "write" ? call_kind::write : call_kind::other;
}

std::string entity_tag(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

http::response value_response(const kv_entry& entry)
{
    auto answer = json_response(200, {{"value", entry.m_value}, {"version", entry.m_version}});
    http::set_header(answer.m_headers, "ETag", entity_tag(entry.m_version));
    return answer;
}

} // namespace

store_service::store_service(const clock& time, std::uint64_t seed, testbench::json_lines& log)
    : m_log(log), m_leases(time), m_faults(time, seed)
{
}

http::response store_service::handle(const http::request& message)
{
    if (starts_with(message.m_target, control_prefix))
        return handle_control(message);
    const auto call = call_name(message);
    if (call.empty())
        return error_response(404, "no such call in the platform store interface");
    m_counts.count(call);
    auto answer = handle_call(message, call);
    m_counts.count(call + "_" + std::to_string(answer.m_status));
    m_log.write(testbench::with_times({{"call", call},
                                       {"target", message.m_target},
                                       {"status", answer.m_status},
                                       {"bytes", answer.m_body.size()}}));
    return answer;
}

void store_service::cancel_waits()
{
    m_keys.cancel_waits();
}

http::response store_service::handle_control(const http::request& message)
{
    const auto path = testbench::path_of(message.m_target);
    if (path == "/control/counts" && message.m_method == "GET")
        return json_response(200, m_counts.to_json());
    if (path != "/control" || message.m_method != "POST")
        return error_response(404, "unknown control call");
    const auto settings = testbench::json_object_in(message);
    if (!settings || !m_faults.apply(*settings))
        return error_response(400, "a field of the control call is unknown or has a wrong type");
    return json_response(200, json::object());
}

http::response store_service::handle_call(const http::request& message, const std::string& call)
{
    std::this_thread::sleep_for(m_faults.next_delay());
    if (m_faults.down())
        return error_response(503, "down");
    if (!m_faults.admit(kind_of(call)))
        return error_response(429, "rate limit");
    auto answer =
        starts_with(message.m_target, key_prefix) ? handle_key(message) : handle_lease(message);
    // The store went down during the call: the caller gets no answer, although a write may have
    // taken effect.
    if (m_faults.down() || (call == "write" && m_faults.consume_lost_answer()))
        answer.m_status = http::close_without_response;
    return answer;
}

http::response store_service::handle_key(const http::request& message)
{
    const auto path = testbench::path_of(message.m_target);
    const std::string key(path.substr(key_prefix.size()));
    return message.m_method == "PUT" ? write_key(message, key) : read_key(message, key);
}

http::response store_service::read_key(const http::request& message, const std::string& key)
{
    const auto after = testbench::query_value(message.m_target, "after");
    if (!after) {
        const auto entry = m_keys.get(key);
        if (!entry)
            return error_response(404, "no such key");
        const auto tag = entity_tag(entry->m_version);
        const auto* known = http::find_header(message.m_headers, "If-None-Match");
        if (known != nullptr && *known == tag)
            return {304, {{"ETag", tag}}, {}};
        return value_response(*entry);
    }
    const auto version = testbench::parse_number(*after);
    const auto wait_ms =
        testbench::parse_number(testbench::query_value(message.m_target, "wait_ms").value_or("0"));
    if (!version || !wait_ms)
        return error_response(400, "after and wait_ms must be numbers");
    const auto limit = milliseconds(std::min(*wait_ms, max_wait_ms));
    const auto entry = m_keys.wait_for_newer(key, *version, limit);
    if (!entry)
        return {204, {}, {}};
    return value_response(*entry);
}

http::response store_service::write_key(const http::request& message, const std::string& key)
{
    const auto expected =
        testbench::parse_number(testbench::query_value(message.m_target, "version").value_or(""));
    if (!expected)
        return error_response(400, "version must be a number");
    if (message.m_body.size() > max_value_bytes)
        return error_response(413, "the value exceeds 1,000,000 bytes");
    const auto outcome = m_keys.put(key, message.m_body, *expected);
    return json_response(outcome.m_written ? 200 : 409, {{"version", outcome.m_version}});
}

http::response store_service::handle_lease(const http::request& message)
{
    const auto path = testbench::path_of(message.m_target);
    if (path == lease_prefix)
        return create_lease(message);
    const std::string id(path.substr(lease_prefix.size() + 1));
    const bool done = message.m_method == "PUT" ? m_leases.renew(id) : m_leases.end(id);
    return done ? json_response(200, {{"lease", id}}) : error_response(404, "no such lease");
}

http::response store_service::create_lease(const http::request& message)
{
    const auto body = testbench::json_object_in(message);
    if (!body || !body->contains("ttl_ms") || !(*body)["ttl_ms"].is_number_unsigned())
        return error_response(400, "ttl_ms must be a number");
    const auto ttl_ms = (*body)["ttl_ms"].get<std::uint64_t>();
    if (ttl_ms == 0 || ttl_ms > max_ttl_ms)
        return error_response(400, "ttl_ms is out of range");
    return json_response(200, {{"lease", m_leases.create(milliseconds(ttl_ms))}});
}

} // namespace azureladder::store_double
