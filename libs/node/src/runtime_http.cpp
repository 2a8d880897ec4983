#include "announcement.hpp"
#include "runtime_impl.hpp"
#include "status.hpp"

#include <azureladder/base/object_reader.hpp>
#include <azureladder/base/scope_guard.hpp>
#include <azureladder/core/configuration.hpp>

#include <boost/asio/post.hpp>

#include <chrono>
#include <optional>

namespace azureladder::node {

namespace {

constexpr const char* node_endpoint_prefix = "/_azureladder/v1/";
constexpr const char* changes_path = "operator/changes";

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_unavailable = 503;

/// Longest time an endpoint of the node waits for the event loop.
constexpr std::chrono::seconds loop_timeout{2};

/// Longest time a server thread waits for the response to a request. The reducer ends each request
/// at its deadline, at most 600 s after its arrival, so this timeout expires only if that fails.
constexpr std::chrono::seconds answer_timeout{605};

constexpr std::int64_t max_revision = std::int64_t(1) << 53U;
constexpr std::size_t max_apply_id_bytes = 128;

const string_constraint apply_id_rule = {"a text of 1 to 128 bytes", [](const std::string& text) {
                                             return !text.empty() &&
                                                    is_printable_utf8(text, max_apply_id_bytes);
                                         }};

http::response json_response(int status, const json& body)
{
    http::response answer;
    answer.m_status = status;
    answer.m_headers.push_back({"Content-Type", "application/json"});
    answer.m_body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return answer;
}

http::response endpoint_error(int status, const std::string& error, const std::string& message)
{
    return json_response(status, {{"error", error}, {"message", message}});
}

/// Value of a hexadecimal digit; empty for any other character.
std::optional<unsigned> hex_value(char digit)
{
    constexpr unsigned ten = 10;
    if (digit >= '0' && digit <= '9')
        return unsigned(digit - '0');
    if (digit >= 'a' && digit <= 'f')
        return unsigned(digit - 'a') + ten;
    if (digit >= 'A' && digit <= 'F')
        return unsigned(digit - 'A') + ten;
    return std::nullopt;
}

std::string percent_decode(const std::string& text)
{
    constexpr unsigned base = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size();
        const auto high = escape ? hex_value(text[i + 1]) : std::nullopt;
        const auto low = escape ? hex_value(text[i + 2]) : std::nullopt;
        if (high && low) {
            decoded += char(*high * base + *low);
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

std::string query_value(const std::string& target, const std::string& name)
{
    auto position = target.find('?');
    while (position != std::string::npos) {
        const auto start = position + 1;
        position = target.find('&', start);
        const auto pair =
            target.substr(start, position == std::string::npos ? position : position - start);
        const auto equals = pair.find('=');
        if (equals != std::string::npos && pair.substr(0, equals) == name)
            return percent_decode(pair.substr(equals + 1));
    }
    return {};
}

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::string runtime_impl::new_request_id()
{
    return m_settings.m_node + "-" + std::to_string(m_clock.wall_time_us()) + "-" +
           std::to_string(++m_last_request_id);
}

http::response runtime_impl::handle_http(const http::request& input)
{
    if (!starts_with(input.m_target, node_endpoint_prefix))
        return handle_caller(input);
    const auto start = std::string(node_endpoint_prefix).size();
    const auto end = input.m_target.find('?');
    return handle_node_endpoint(
        input, input.m_target.substr(start, end == std::string::npos ? end : end - start));
}

http::response runtime_impl::handle_caller(const http::request& input)
{
    auto parsed = parse_caller_request(input, new_request_id());
    if (!parsed) {
        const auto& error = parsed.error();
        m_logger.write(log_level::info, "request_rejected",
                       {{"request_id", error.m_request_id},
                        {"reason", to_string(error.m_code)},
                        {"message", error.m_message}});
        return error_response(error.m_code, error.m_message, error.m_request_id, executed::no,
                              duration::zero());
    }
    auto& request = parsed.value();
    const auto service = request.m_info.m_service;
    const auto request_id = request.m_info.m_request_id;
    if (!m_admission_gate.try_enter(service)) {
        m_logger.write(log_level::info, "request_rejected",
                       {{"request_id", request_id},
                        {"reason", "overloaded"},
                        {"message", "too many requests of this service wait at this node"}});
        return error_response(core::error_code::overloaded,
                              "too many requests of this service wait at this node", request_id,
                              executed::no, seconds(1));
    }
    const scope_guard leave([&] { m_admission_gate.leave(service); });

    auto caller = std::make_shared<std::promise<http::response>>();
    auto answer = caller->get_future();
    boost::asio::post(m_io, [this, caller, request = std::move(request)]() mutable {
        const auto token = ++m_last_token;
        open_request open;
        open.m_info = request.m_info;
        open.m_message = std::move(request.m_forwarded);
        open.m_caller = caller;
        m_requests.emplace(token, std::move(open));
        handle(core::request_arrived{token, request.m_info});
    });
    if (answer.wait_for(answer_timeout) != std::future_status::ready)
        return error_response(core::error_code::deadline_exceeded, "no answer in time", request_id,
                              executed::unknown, duration::zero());
    return answer.get();
}

http::response runtime_impl::run_on_loop(std::function<http::response()> function)
{
    auto task = std::make_shared<std::packaged_task<http::response()>>(std::move(function));
    auto answer = task->get_future();
    boost::asio::post(m_io, [task] { (*task)(); });
    if (answer.wait_for(loop_timeout) != std::future_status::ready)
        return endpoint_error(status_unavailable, "busy", "the event loop did not respond in time");
    return answer.get();
}

http::response runtime_impl::handle_node_endpoint(const http::request& input,
                                                  const std::string& path)
{
    if (path == "health")
        return json_response(status_ok, {{"status", "ok"}, {"node", m_settings.m_node}});
    if (path == "ready")
        return json_response(m_ready ? status_ok : status_unavailable, {{"ready", m_ready.load()}});
    if (path == "metrics") {
        http::response answer;
        answer.m_headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        answer.m_body = m_metrics.prometheus_text();
        return answer;
    }
    const bool post = input.m_method == "POST";
    if (path == "announce" || path == changes_path) {
        if (!post)
            return endpoint_error(status_method_not_allowed, "method_not_allowed", "expected POST");
        return path == "announce" ? handle_announcement(input) : handle_change(input);
    }
    if (input.m_method != "GET")
        return endpoint_error(status_method_not_allowed, "method_not_allowed", "expected GET");
    return handle_query(input, path);
}

http::response runtime_impl::handle_announcement(const http::request& input)
{
    auto info = parse_announcement(input.m_body);
    if (!info) {
        const auto reason = info.error().m_path + ": " + info.error().m_message;
        m_logger.write(log_level::warning, "announcement_rejected", {{"reason", reason}});
        return endpoint_error(status_bad_request, "bad_announcement", reason);
    }
    return run_on_loop([this, info = std::move(info.value())] {
        m_backend.set_backend(info);
        handle(core::backend_announced{info});
        return json_response(status_ok, {{"node", m_settings.m_node}});
    });
}

http::response runtime_impl::handle_change(const http::request& input)
{
    // The parser limits the nesting: copies of deeply nested JSON could exhaust the stack.
    std::vector<field_error> errors;
    const auto body = parse_json_text(input.m_body, false, errors);
    core::change_requested change;
    if (errors.empty()) {
        object_reader reader(body, "", errors);
        reader.read_string("apply_id", apply_id_rule, change.m_apply_id, presence::required);
        reader.read_integer("base_revision", 0, max_revision, change.m_base_revision);
        if (const auto* records = reader.read_array("records", presence::required))
            change.m_records = *records;
        reader.reject_unknown_fields();
    }
    if (!errors.empty())
        return endpoint_error(status_bad_request, "bad_request",
                              errors.front().m_path + ": " + errors.front().m_message);
    return run_on_loop([this, change = std::move(change)] {
        handle(change);
        return json_response(status_accepted, {{"apply_id", change.m_apply_id}});
    });
}

http::response runtime_impl::handle_query(const http::request& input, const std::string& path)
{
    if (path == "status")
        return run_on_loop(
            [this] { return json_response(status_ok, status_json(m_state, m_clock.now())); });
    if (path == "operator/configuration")
        return run_on_loop([this] {
            http::response answer;
            answer.m_headers.push_back({"Content-Type", "application/json"});
            answer.m_body = records::serialize_document(m_state.m_configuration.m_document);
            return answer;
        });
    if (path == "operator/where")
        return run_on_loop([this, service = query_value(input.m_target, "service"),
                            key = query_value(input.m_target, "key")] {
            const auto body = where_json(m_state, service, key);
            if (body.is_null())
                return endpoint_error(status_not_found, "unknown_service",
                                      "no service of this name is divided by key");
            return json_response(status_ok, body);
        });
    const auto prefix = std::string(changes_path) + "/";
    if (starts_with(path, prefix))
        return run_on_loop([this, id = percent_decode(path.substr(prefix.size()))] {
            const auto body = core::change_progress(m_state, id);
            if (body.is_null())
                return endpoint_error(status_not_found, "unknown_change",
                                      "this node has no change with this apply id");
            return json_response(status_ok, body);
        });
    return endpoint_error(status_not_found, "not_found", "no such endpoint");
}

} // namespace azureladder::node
