#include <azureladder/backend_double/backend_service.hpp>

#include "request_fields.hpp"

#include <azureladder/base/scope_guard.hpp>
#include <azureladder/testbench/json_http.hpp>

#include <algorithm>

namespace azureladder::backend_double {

namespace {

using testbench::json_response;

constexpr int status_ok = 200;
constexpr int status_precondition_failed = 412;
constexpr int status_shed = 503;
constexpr int status_aborted = 500;
constexpr int status_deadline = 504;
constexpr std::string_view control_prefix = "/control/";
constexpr std::uint64_t max_reply_padding_bytes = 8'388'608;

http::response error_response(int status, const std::string& message)
{
    return json_response(status, {{"error", message}});
}

json with_event(const char* event, json record)
{
    record["event"] = event;
    return testbench::with_times(std::move(record));
}

const char* name_of(execution_end end)
{
    switch (end) {
    case execution_end::done:
        return "done";
    case execution_end::cancelled:
        return "cancelled";
    case execution_end::deadline_passed:
        return "deadline_passed";
    case execution_end::lease_expired:
        return "lease_expired";
    }
    return "invalid";
}

int status_of(execution_end end)
{
    if (end == execution_end::done)
        return status_ok;
    return end == execution_end::deadline_passed ? status_deadline : status_aborted;
}

} // namespace

backend_service::backend_service(const clock& time, const backend_options& options,
                                 execution_log& log)
    : m_clock(time), m_options(options), m_log(log), m_capacity(time, options), m_running(time)
{
}

http::response backend_service::handle(const http::request& message)
{
    if (message.m_target.compare(0, control_prefix.size(), control_prefix) == 0)
        return handle_control(message);
    return execute(message);
}

http::response backend_service::handle_control(const http::request& message)
{
    const auto path = testbench::path_of(message.m_target);
    if (path == "/control/executions" && message.m_method == "GET")
        return json_response(status_ok, m_log.records());
    if (message.m_method != "POST")
        return error_response(404, "unknown control call");
    const auto body = testbench::json_object_in(message);
    if (!body)
        return error_response(400, "the body must be a JSON object");
    if (path == "/control/lease")
        return set_lease(*body);
    if (path == "/control/grant")
        return set_grant(*body);
    if (path == "/control/cancel")
        return cancel(*body);
    if (path != "/control/double")
        return error_response(404, "unknown control call");
    if (!m_capacity.apply(*body))
        return error_response(400, "a field is unknown or has a wrong type");
    return json_response(status_ok, json::object());
}

http::response backend_service::set_lease(const json& body)
{
    const auto now = m_clock.now();
    const auto incarnation = text_field(body, "incarnation");
    const auto valid_ms = body.find("valid_ms");
    if (!incarnation || valid_ms == body.end() || !valid_ms->is_number_unsigned())
        return error_response(400, "incarnation and valid_ms are required");
    m_fencing.set_lease(*incarnation, now + milliseconds(valid_ms->get<std::int64_t>()));
    m_running.recheck_leases();
    return json_response(status_ok, json::object());
}

http::response backend_service::set_grant(const json& body)
{
    const auto service = text_field(body, "service");
    const auto slice = text_field(body, "slice");
    const auto epoch = body.find("epoch");
    const bool has_epoch = epoch != body.end() && epoch->is_number_unsigned();
    const bool revoked = body.value("revoked", json(false)) == json(true);
    if (!service || !slice || !(has_epoch || revoked))
        return error_response(400, "service, slice and either epoch or revoked are required");
    // Each key group of a service is a separate space with its own slice numbers.
    const slice_id name{text_field(body, "space").value_or(*service), *slice};
    if (!has_epoch)
        m_fencing.revoke(name);
    else if (!m_fencing.set_grant(name, epoch->get<std::uint64_t>(), revoked))
        return error_response(status_precondition_failed,
                              "epoch is below the highest epoch received for the slice");
    return json_response(status_ok, json::object());
}

http::response backend_service::cancel(const json& body)
{
    const auto request_id = text_field(body, "request_id");
    if (!request_id)
        return error_response(400, "request_id is required");
    if (!m_running.cancel(*request_id))
        return error_response(404, "request_id: no such request in execution");
    return json_response(status_ok, json::object());
}

const char* backend_service::fencing_refusal(const http::request& message, time_point now) const
{
    if (!m_options.m_checks_fencing)
        return nullptr;
    if (m_fencing.lease_end() <= now)
        return "lease_expired";
    const auto slice = header_or_empty(message, "Azureladder-Slice");
    if (slice.empty())
        return nullptr;
    const auto epoch = header_number(message, "Azureladder-Epoch");
    return epoch && m_fencing.is_granted({space_of(message), slice}, *epoch) ? nullptr
                                                                             : "epoch_not_granted";
}

http::response backend_service::execute(const http::request& message)
{
    const auto start = m_clock.now();
    auto identity = identity_of(message, m_options.m_server, m_options.m_service);
    if (const auto* reason = fencing_refusal(message, start))
        return refuse(identity, status_precondition_failed, reason);
    const auto decision = m_capacity.admit();
    if (decision.m_refusal != nullptr)
        return refuse(identity, status_shed, decision.m_refusal);
    const scope_guard release([this] { m_capacity.release(); });
    identity["execution"] = ++m_executions;
    auto started = identity;
    started["in_flight"] = decision.m_in_flight;
    started["bound"] = decision.m_bound;
    started["overload"] = decision.m_overload;
    // Register the execution before the record is written, so that a caller which reads the record
    // can cancel it.
    const auto running = m_running.add(identity["request_id"]);
    m_log.append(with_event("execution_started", std::move(started)));
    execution_limits limits;
    limits.m_completion_time = start + decision.m_service_time;
    if (const auto timeout_ms = header_number(message, "Request-Timeout-Ms"))
        limits.m_deadline = start + milliseconds(*timeout_ms);
    if (m_options.m_checks_fencing)
        limits.m_fencing = &m_fencing;
    const auto end = m_running.run(running, limits);
    return finish(message, identity, end, m_fencing.lease_end());
}

http::response backend_service::finish(const http::request& message, const json& identity,
                                       execution_end end, time_point lease_end)
{
    const auto status = status_of(end);
    auto finished = with_event("execution_finished", {{"server", identity["server"]},
                                                      {"request_id", identity["request_id"]},
                                                      {"execution", identity["execution"]},
                                                      {"status", status},
                                                      {"end", name_of(end)}});
    // A paused process detects the end of its lease late; its work ended with the lease.
    const auto now_us = finished["mono_us"].get<std::int64_t>();
    const bool fenced = end == execution_end::lease_expired;
    finished["work_end_mono_us"] = fenced ? std::min(now_us, to_us(lease_end)) : now_us;
    m_log.append(finished);
    json body = {{"server", identity["server"]},
                 {"request_id", identity["request_id"]},
                 {"key", identity["key"]}};
    if (end == execution_end::done)
        body["sequence"] = next_sequence(identity["key"]);
    else
        body["error"] = name_of(end);
    const auto padding = header_number(message, "X-Reply-Bytes").value_or(0);
    if (padding > 0)
        body["padding"] = std::string(std::min(padding, max_reply_padding_bytes), 'x');
    auto answer = json_response(status, body);
    answer.m_headers.push_back(
        {"Azureladder-Executed", end == execution_end::done ? "yes" : "unknown"});
    // With delayed reports the replies must not expose the current state either.
    if (m_options.m_report_lag.count() == 0 && m_capacity.report().m_cold)
        answer.m_headers.push_back({"Azureladder-Backend-Cold", "true"});
    return answer;
}

http::response backend_service::refuse(const json& identity, int status, const std::string& reason)
{
    auto record = identity;
    record["reason"] = reason;
    record["status"] = status;
    m_log.append(with_event("execution_refused", std::move(record)));
    auto answer = json_response(status, {{"server", m_options.m_server},
                                         {"request_id", identity["request_id"]},
                                         {"error", reason}});
    answer.m_headers.push_back({"Azureladder-Executed", "no"});
    return answer;
}

std::uint64_t backend_service::next_sequence(const std::string& key)
{
    const std::lock_guard lock(m_sequence_mutex);
    return ++m_sequences[key];
}

} // namespace azureladder::backend_double
