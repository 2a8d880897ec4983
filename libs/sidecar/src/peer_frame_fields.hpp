#pragma once

#include <azureladder/sidecar/peer_frame.hpp>

#include <tuple>

namespace azureladder::sidecar {

// Serialized fields of each type in a frame, in order. The second parameter selects the type;
// `Value` is the type itself or const. A later version may add fields at the end.

template <class Value>
auto fields_of(Value& value, const header_field* /*type*/)
{
    return std::tie(value.m_name, value.m_value);
}

template <class Value>
auto fields_of(Value& value, const routing::route_service_time* /*type*/)
{
    return std::tie(value.m_route, value.m_mean);
}

template <class Value>
auto fields_of(Value& value, const routing::load_report* /*type*/)
{
    return std::tie(value.m_open, value.m_running, value.m_waiting, value.m_limit,
                    value.m_service_time, value.m_failure_share, value.m_cold_rate_per_s,
                    value.m_predicted_wait, value.m_route_times, value.m_call_wait);
}

template <class Value>
auto fields_of(Value& value, const key_ranges::owner_report* /*type*/)
{
    return std::tie(value.m_utilization, value.m_utilization_per_request, value.m_latency);
}

template <class Value>
auto fields_of(Value& value, const node_status* /*type*/)
{
    return std::tie(value.m_service, value.m_server_incarnation, value.m_report, value.m_leaving,
                    value.m_key_utilization, value.m_owns_keys, value.m_departed_servers,
                    value.m_calls_per_execution, value.m_called_routes, value.m_owner_report,
                    value.m_link_mbps, value.m_counts_quotas);
}

template <class Value>
auto fields_of(Value& value, const forwarded_request* /*type*/)
{
    return std::tie(value.m_request_id, value.m_method, value.m_target, value.m_host,
                    value.m_headers, value.m_body, value.m_caller_service, value.m_key,
                    value.m_service, value.m_route, value.m_priority, value.m_kind, value.m_is_call,
                    value.m_organisation, value.m_organisation_priority);
}

template <class Value>
auto fields_of(Value& value, const server_response* /*type*/)
{
    return std::tie(value.m_status, value.m_headers, value.m_body);
}

template <class Value>
auto fields_of(Value& value, const owner_hint* /*type*/)
{
    return std::tie(value.m_from, value.m_to, value.m_owner, value.m_fencing_token);
}

template <class Value>
auto fields_of(Value& value, const hello_frame* /*type*/)
{
    return std::tie(value.m_node, value.m_incarnation, value.m_address, value.m_zone,
                    value.m_known_nodes, value.m_departed_servers);
}

template <class Value>
auto fields_of(Value& value, const ping_frame* /*type*/)
{
    return std::tie(value.m_sequence, value.m_sent_us);
}

template <class Value>
auto fields_of(Value& value, const status_frame* /*type*/)
{
    return std::tie(value.m_sequence, value.m_status, value.m_documents,
                    value.m_confirmation_age_us, value.m_store_era);
}

template <class Value>
auto fields_of(Value& value, const request_frame* /*type*/)
{
    return std::tie(value.m_id, value.m_request, value.m_remaining_us, value.m_target_us,
                    value.m_is_retry, value.m_sent_us, value.m_accepts_late, value.m_body_bytes);
}

template <class Value>
auto fields_of(Value& value, const cancel_frame* /*type*/)
{
    return std::tie(value.m_id);
}

template <class Value>
auto fields_of(Value& value, const resume_frame* /*type*/)
{
    return std::tie(value.m_id);
}

template <class Value>
auto fields_of(Value& value, const response_frame* /*type*/)
{
    return std::tie(value.m_id, value.m_response, value.m_report);
}

template <class Value>
auto fields_of(Value& value, const refusal_frame* /*type*/)
{
    return std::tie(value.m_id, value.m_reason, value.m_retry_after_us, value.m_report,
                    value.m_owner);
}

template <class Value>
auto fields_of(Value& value, const failure_frame* /*type*/)
{
    return std::tie(value.m_id, value.m_cause, value.m_report);
}

template <class Value>
auto fields_of(Value& value, const document_request_frame* /*type*/)
{
    return std::tie(value.m_name, value.m_known_revision);
}

template <class Value>
auto fields_of(Value& value, const document_frame* /*type*/)
{
    return std::tie(value.m_name, value.m_revision, value.m_text, value.m_confirmation_age_us,
                    value.m_base_revision);
}

template <class Value>
auto fields_of(Value& value, const released_keys* /*type*/)
{
    return std::tie(value.m_from, value.m_to, value.m_fencing_token, value.m_target,
                    value.m_handover);
}

template <class Value>
auto fields_of(Value& value, const released_keys_frame* /*type*/)
{
    return std::tie(value.m_service, value.m_released);
}

template <class Value>
auto fields_of(Value& value, const body_request_frame* /*type*/)
{
    return std::tie(value.m_id);
}

template <class Value>
auto fields_of(Value& value, const body_frame* /*type*/)
{
    return std::tie(value.m_id, value.m_body);
}

template <class Value>
auto fields_of(Value& value, const routing::quota_limit* /*type*/)
{
    return std::tie(value.m_rate_per_s, value.m_burst);
}

template <class Value>
auto fields_of(Value& value, const quota_request_frame* /*type*/)
{
    return std::tie(value.m_id, value.m_organisation, value.m_limit);
}

template <class Value>
auto fields_of(Value& value, const quota_answer_frame* /*type*/)
{
    return std::tie(value.m_id, value.m_organisation, value.m_answer, value.m_granted_us,
                    value.m_retry_after_us);
}

template <class Value>
auto fields_of(Value& value, const quota_return_frame* /*type*/)
{
    return std::tie(value.m_organisation, value.m_granted_us);
}

} // namespace azureladder::sidecar
