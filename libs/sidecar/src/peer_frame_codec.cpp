#include <azureladder/sidecar/peer_frame_codec.hpp>

#include <azureladder/base/json.hpp>

namespace azureladder::sidecar {

namespace {

enum class frame_type
{
    hello,
    ping,
    status,
    request,
    cancel,
    resume,
    response,
    refusal,
    failure,
    document_request,
    document,
    count
};

void append_length(std::string& bytes, std::size_t length)
{
    for (const int shift : {24, 16, 8, 0})
        bytes.push_back(static_cast<char>((length >> shift) & 0xFF));
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (const char byte : bytes.substr(0, 4))
        length = length << 8 | static_cast<unsigned char>(byte);
    return length;
}

json headers_json(const header_fields& fields)
{
    json rows = json::array();
    for (const auto& field : fields) {
        rows.push_back(field.m_name);
        // Header values may hold bytes that are not UTF-8.
        rows.push_back(json::binary({field.m_value.begin(), field.m_value.end()}));
    }
    return rows;
}

header_fields read_headers(const json& rows)
{
    header_fields fields;
    for (std::size_t i = 0; i + 1 < rows.size(); i += 2) {
        const auto& value = rows[i + 1].get_binary();
        fields.push_back({rows[i].get<std::string>(), {value.begin(), value.end()}});
    }
    return fields;
}

json route_times_json(const std::vector<routing::route_service_time>& times)
{
    json row = json::array();
    for (const auto& time : times) {
        row.push_back(time.m_route);
        row.push_back(time.m_mean.count());
    }
    return row;
}

json report_json(const routing::load_report& report)
{
    return {report.m_open,
            report.m_running,
            report.m_waiting,
            report.m_limit,
            report.m_service_time.count(),
            report.m_failure_share,
            report.m_cold_rate_per_s,
            report.m_predicted_wait.count(),
            route_times_json(report.m_route_times)};
}

routing::load_report read_report(const json& row)
{
    routing::load_report report;
    report.m_open = row.at(0).get<bool>();
    report.m_running = row.at(1).get<std::uint32_t>();
    report.m_waiting = row.at(2).get<std::uint32_t>();
    report.m_limit = row.at(3).get<std::uint32_t>();
    report.m_service_time = duration(row.at(4).get<std::int64_t>());
    report.m_failure_share = row.at(5).get<double>();
    report.m_cold_rate_per_s = row.at(6).get<double>();
    report.m_predicted_wait = duration(row.at(7).get<std::int64_t>());
    const json& times = row.at(8);
    for (std::size_t i = 0; i + 1 < times.size(); i += 2)
        report.m_route_times.push_back(
            {times[i].get<std::uint32_t>(), duration(times[i + 1].get<std::int64_t>())});
    return report;
}

json status_json(const node_status& status)
{
    return {status.m_service,         status.m_server_incarnation, report_json(status.m_report),
            status.m_leaving,         status.m_key_utilization,    status.m_owns_keys,
            status.m_departed_servers};
}

node_status read_status(const json& row)
{
    node_status status;
    status.m_service = row.at(0).get<std::string>();
    status.m_server_incarnation = row.at(1).get<std::string>();
    status.m_report = read_report(row.at(2));
    status.m_leaving = row.at(3).get<bool>();
    status.m_key_utilization = row.at(4).get<double>();
    status.m_owns_keys = row.at(5).get<bool>();
    status.m_departed_servers = row.at(6).get<departed_servers>();
    return status;
}

/// Head of each frame type; the body, if any, is returned by `body_of`.
json head_of(const hello_frame& frame)
{
    return {frame.m_node, frame.m_incarnation, frame.m_address,
            frame.m_zone, frame.m_known_nodes, frame.m_departed_servers};
}

json head_of(const ping_frame& frame)
{
    return json::array({frame.m_sequence});
}

json head_of(const status_frame& frame)
{
    return {frame.m_sequence, status_json(frame.m_status), frame.m_documents,
            frame.m_confirmation_age_us};
}

json head_of(const request_frame& frame)
{
    const forwarded_request& request = *frame.m_request;
    return {frame.m_id,
            frame.m_remaining_us,
            frame.m_target_us,
            request.m_request_id,
            request.m_method,
            json::binary({request.m_target.begin(), request.m_target.end()}),
            request.m_host,
            headers_json(request.m_headers),
            request.m_caller_service,
            request.m_key ? json(*request.m_key) : json(nullptr),
            request.m_service,
            request.m_route,
            request.m_priority,
            static_cast<int>(request.m_kind),
            frame.m_is_retry};
}

json head_of(const cancel_frame& frame)
{
    return json::array({frame.m_id});
}

json head_of(const resume_frame& frame)
{
    return json::array({frame.m_id});
}

json head_of(const response_frame& frame)
{
    return {frame.m_id, frame.m_response->m_status, headers_json(frame.m_response->m_headers),
            report_json(frame.m_report)};
}

json hint_json(const std::optional<owner_hint>& hint)
{
    if (!hint)
        return nullptr;
    return {hint->m_from, hint->m_to, hint->m_owner, hint->m_fencing_token};
}

std::optional<owner_hint> read_hint(const json& row)
{
    if (row.is_null())
        return std::nullopt;
    return owner_hint{row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(),
                      row.at(2).get<std::string>(), row.at(3).get<std::uint64_t>()};
}

json head_of(const refusal_frame& frame)
{
    return {frame.m_id, static_cast<int>(frame.m_reason), frame.m_retry_after_us,
            report_json(frame.m_report), hint_json(frame.m_owner)};
}

json head_of(const failure_frame& frame)
{
    return {frame.m_id, frame.m_cause, report_json(frame.m_report)};
}

json head_of(const document_request_frame& frame)
{
    return json::array({frame.m_name});
}

json head_of(const document_frame& frame)
{
    return {frame.m_name, frame.m_revision, frame.m_confirmation_age_us};
}

template <class Frame>
std::string_view body_of(const Frame& /*frame*/)
{
    return {};
}

std::string_view body_of(const request_frame& frame)
{
    return frame.m_request->m_body;
}

std::string_view body_of(const response_frame& frame)
{
    return frame.m_response->m_body;
}

std::string_view body_of(const document_frame& frame)
{
    return frame.m_text;
}

request_frame read_request(const json& head, std::string_view body)
{
    auto request = std::make_shared<forwarded_request>();
    request_frame frame;
    frame.m_id = head.at(0).get<std::uint64_t>();
    frame.m_remaining_us = head.at(1).get<std::int64_t>();
    frame.m_target_us = head.at(2).get<std::int64_t>();
    request->m_request_id = head.at(3).get<std::string>();
    request->m_method = head.at(4).get<std::string>();
    const auto& target = head.at(5).get_binary();
    request->m_target.assign(target.begin(), target.end());
    request->m_host = head.at(6).get<std::string>();
    request->m_headers = read_headers(head.at(7));
    request->m_caller_service = head.at(8).get<std::string>();
    if (head.at(9).is_number_unsigned())
        request->m_key = head.at(9).get<std::uint32_t>();
    request->m_service = head.at(10).get<std::string>();
    request->m_route = head.at(11).get<std::string>();
    request->m_priority = head.at(12).get<std::uint32_t>();
    request->m_kind = head.at(13).get<int>() == 0 ? routing::request_kind::idempotent
                                                  : routing::request_kind::non_idempotent;
    frame.m_is_retry = head.at(14).get<bool>();
    request->m_body = body;
    frame.m_request = std::move(request);
    return frame;
}

response_frame read_response(const json& head, std::string_view body)
{
    auto response = std::make_shared<server_response>();
    response->m_status = head.at(1).get<int>();
    response->m_headers = read_headers(head.at(2));
    response->m_body = body;
    return {head.at(0).get<std::uint64_t>(), std::move(response), read_report(head.at(3))};
}

peer_frame read_frame(frame_type type, const json& head, std::string_view body)
{
    switch (type) {
    case frame_type::hello:
        return hello_frame{head.at(0).get<std::string>(),
                           head.at(1).get<std::uint64_t>(),
                           head.at(2).get<std::string>(),
                           head.at(3).get<std::string>(),
                           head.at(4).get<std::map<std::string, std::string>>(),
                           head.at(5).get<departed_servers>()};
    case frame_type::ping:
        return ping_frame{head.at(0).get<std::uint64_t>()};
    case frame_type::status:
        return status_frame{head.at(0).get<std::uint64_t>(), read_status(head.at(1)),
                            head.at(2).get<document_revisions>(),
                            head.at(3).get<std::map<std::string, std::int64_t>>()};
    case frame_type::request:
        return read_request(head, body);
    case frame_type::cancel:
        return cancel_frame{head.at(0).get<std::uint64_t>()};
    case frame_type::resume:
        return resume_frame{head.at(0).get<std::uint64_t>()};
    case frame_type::response:
        return read_response(head, body);
    case frame_type::refusal:
        return refusal_frame{
            head.at(0).get<std::uint64_t>(), static_cast<refusal_reason>(head.at(1).get<int>()),
            head.at(2).get<std::int64_t>(), read_report(head.at(3)), read_hint(head.at(4))};
    case frame_type::failure:
        return failure_frame{head.at(0).get<std::uint64_t>(), head.at(1).get<std::string>(),
                             read_report(head.at(2))};
    case frame_type::document_request:
        return document_request_frame{head.at(0).get<std::string>()};
    default:
        return document_frame{head.at(0).get<std::string>(), head.at(1).get<std::uint64_t>(),
                              std::string(body), head.at(2).get<std::int64_t>()};
    }
}

} // namespace

std::string encode_frame(const peer_frame& frame)
{
    json head;
    std::string_view body;
    std::visit(
        [&](const auto& value) {
            head = head_of(value);
            body = body_of(value);
        },
        frame);
    const auto head_bytes = json::to_cbor(json::array({frame.index(), std::move(head)}));
    std::string bytes;
    bytes.reserve(frame_prefix_bytes + head_bytes.size() + body.size());
    append_length(bytes, 4 + head_bytes.size() + body.size());
    append_length(bytes, head_bytes.size());
    bytes.append(head_bytes.begin(), head_bytes.end());
    bytes.append(body);
    return bytes;
}

frame_state decode_frame(std::string_view buffer, peer_frame& frame, std::size_t& used)
{
    if (buffer.size() < frame_prefix_bytes)
        return frame_state::incomplete;
    const std::size_t length = read_length(buffer);
    const std::size_t head_length = read_length(buffer.substr(4));
    if (length > max_frame_bytes || head_length + 4 > length)
        return frame_state::invalid;
    if (buffer.size() < length + 4)
        return frame_state::incomplete;
    used = length + 4;
    const std::string_view head_bytes = buffer.substr(frame_prefix_bytes, head_length);
    const std::string_view body =
        buffer.substr(frame_prefix_bytes + head_length, length - 4 - head_length);
    try {
        const json head = json::from_cbor(head_bytes.begin(), head_bytes.end());
        const auto type = head.at(0).get<std::size_t>();
        if (type >= static_cast<std::size_t>(frame_type::count))
            return frame_state::invalid;
        frame = read_frame(static_cast<frame_type>(type), head.at(1), body);
    } catch (const json::exception&) {
        return frame_state::invalid;
    }
    return frame_state::complete;
}

} // namespace azureladder::sidecar
