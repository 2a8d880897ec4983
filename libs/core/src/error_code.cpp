#include <azureladder/core/error_code.hpp>

namespace azureladder::core {

executed executed_for(error_code code)
{
    switch (code) {
    case error_code::peer_lost:
    case error_code::backend_lost:
    case error_code::deadline_exceeded:
    case error_code::claim_in_progress:
    case error_code::claim_unknown:
        return executed::unknown;
    default:
        return executed::no;
    }
}

int http_status_for(error_code code)
{
    switch (code) {
    case error_code::bad_request:
    case error_code::missing_key:
    case error_code::bad_deadline:
        return 400;
    case error_code::unknown_service:
        return 404;
    case error_code::body_too_large:
        return 413;
    case error_code::claim_in_progress:
    case error_code::claim_unknown:
        return 409;
    case error_code::connect_failed:
    case error_code::peer_unreachable:
    case error_code::peer_lost:
    case error_code::backend_lost:
        return 502;
    case error_code::deadline_in_queue:
    case error_code::deadline_exceeded:
        return 504;
    default:
        return 503;
    }
}

} // namespace azureladder::core
