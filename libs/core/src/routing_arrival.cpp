#include "routing_internal.hpp"

#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

/// Admission of requests: validation, default timeout and the choice between routing and local
/// execution.
namespace azureladder::core {

namespace {

/// Error answer for a request that fails validation.
struct rejection
{
    error_code m_code;
    const char* m_message;
};

std::optional<rejection> validate(const request_info& info, const records::service_record* service)
{
    if (service == nullptr)
        return rejection{error_code::unknown_service,
                         "no configuration record defines this service"};
    if (service->m_divided_by_key && info.m_key.empty())
        return rejection{error_code::missing_key,
                         "the service is divided by key, but the request has no key"};
    if (info.m_key.size() > max_key_bytes)
        return rejection{error_code::bad_request, "the key is longer than 512 bytes"};
    if (info.m_timeout < duration(0) || info.m_timeout > max_timeout)
        return rejection{error_code::bad_deadline, "the timeout must be 1 to 600,000 ms"};
    return std::nullopt;
}

void log_received(routing_context& context, const request_info& info)
{
    write_event(context, log_level::info, "request_received",
                {{"request_id", info.m_request_id},
                 {"service", info.m_service},
                 {"key_hash", key_hash_text(info.m_key)},
                 {"class", to_string(info.m_class)},
                 {"customer", info.m_customer},
                 {"idempotent", info.m_idempotent},
                 {"idempotency_key", info.m_idempotency_key}});
}

void register_request(routing_context& context, const request_arrived& input,
                      const records::service_record* service)
{
    open_request request;
    request.m_info = input.m_info;
    request.m_is_entry = input.m_info.m_forwarded_by.empty();
    request.m_arrived = context.m_now;
    auto timeout = input.m_info.m_timeout;
    if (timeout <= duration(0) && service != nullptr)
        timeout = service->m_default_timeout;
    request.m_deadline = context.m_now + std::min(timeout, max_timeout);
    if (service != nullptr && service->m_divided_by_key)
        request.m_slice = slice_for_key(context.m_state, service->m_name, input.m_info.m_key);
    context.m_state.m_routing.m_requests.emplace(input.m_token, std::move(request));
}

} // namespace

bool is_divided(const open_request& request)
{
    return !request.m_slice.m_space.empty();
}

void handle_arrival(routing_context& context, const request_arrived& input)
{
    auto& state = context.m_state;
    if (find_request(state, input.m_token) != nullptr) {
        write_event(context, log_level::error, "request_token_reused",
                    {{"request_id", input.m_info.m_request_id},
                     {"reason", "a request with this token is open"}});
        return;
    }
    const bool entry = input.m_info.m_forwarded_by.empty();
    if (entry)
        log_received(context, input.m_info);
    const auto* service =
        records::find_service(state.m_configuration.m_document, input.m_info.m_service);
    register_request(context, input, service);
    // Without a lease this node may have missed a configuration revision, so its records may be
    // stale.
    if (!holds_lease(state, context.m_now)) {
        answer_error(context, input.m_token, error_code::not_serving, "this node holds no lease");
        return;
    }
    if (const auto rejected = validate(input.m_info, service)) {
        answer_error(context, input.m_token, rejected->m_code, rejected->m_message);
        return;
    }
    schedule_timer(context, input.m_token);
    if (!entry) {
        admit_locally(context, input.m_token);
        return;
    }
    auto& stats = stats_of(state, input.m_info.m_service);
    count_request(stats.m_retries, context.m_now);
    count_request(stats.m_hedges, context.m_now);
    route_request(context, input.m_token);
}

} // namespace azureladder::core
