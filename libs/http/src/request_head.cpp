#include "request_head.hpp"

#include "head_syntax.hpp"

#include <azureladder/base/json.hpp>

namespace azureladder::http {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_length_required = 411;
constexpr int status_too_large = 413;
constexpr int status_expectation_failed = 417;
constexpr int status_unavailable = 503;
constexpr int status_version_not_supported = 505;

const char* error_code(int status)
{
    if (status == status_too_large)
        return "body_too_large";
    return status == status_unavailable ? "stopping" : "bad_request";
}

} // namespace

result<request, request_rejection> parse_request_head(std::string_view raw)
{
    std::string_view line;
    if (!next_line(raw, line))
        return request_rejection{status_bad_request, "the request line does not end in CR LF"};
    const auto method_end = line.find(' ');
    const auto target_end = line.rfind(' ');
    if (method_end == std::string_view::npos || target_end == method_end)
        return request_rejection{
            status_bad_request,
            "the request line is malformed; expected method, target and version"};
    const auto method = line.substr(0, method_end);
    const auto target = line.substr(method_end + 1, target_end - method_end - 1);
    const auto version = line.substr(target_end + 1);
    if (!is_token(method) || !is_request_target(target))
        return request_rejection{status_bad_request,
                                 "the request line has an invalid method or target"};
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
        return request_rejection{status_version_not_supported,
                                 "only HTTP/1.1 and HTTP/1.0 are supported"};
    request parsed;
    parsed.m_method = method;
    parsed.m_target = target;
    if (!parse_header_lines(raw, parsed.m_headers))
        return request_rejection{status_bad_request, "a header line of the request is malformed"};
    return parsed;
}

result<body_framing, request_rejection> check_framing(const header_fields& headers,
                                                      std::uint64_t max_body_bytes)
{
    const auto lengths = count_headers(headers, "Content-Length");
    if (count_headers(headers, "Transfer-Encoding") > 0) {
        if (lengths > 0)
            return request_rejection{status_bad_request,
                                     "the request has both Content-Length and Transfer-Encoding"};
        return request_rejection{status_length_required,
                                 "Transfer-Encoding is not supported; expected Content-Length"};
    }
    if (lengths > 1)
        return request_rejection{status_bad_request,
                                 "the request has more than one Content-Length"};
    body_framing framing;
    if (const auto* length = find_header(headers, "Content-Length")) {
        if (!parse_decimal(*length, framing.m_length))
            return request_rejection{status_bad_request, "Content-Length is not a decimal number"};
    }
    if (framing.m_length > max_body_bytes)
        return request_rejection{status_too_large, "the body exceeds the limit of " +
                                                       std::to_string(max_body_bytes) + " bytes"};
    if (const auto* expect = find_header(headers, "Expect")) {
        if (!equals_ignoring_case(*expect, "100-continue"))
            return request_rejection{status_expectation_failed,
                                     "only Expect: 100-continue is supported"};
        framing.m_expects_continue = true;
    }
    return framing;
}

response make_rejection_response(const request_rejection& rejection,
                                 const request& rejected_request)
{
    json body = {{"error", error_code(rejection.m_status)},
                 {"message", rejection.m_message},
                 {"executed", "no"}};
    response rejection_response;
    rejection_response.m_status = rejection.m_status;
    rejection_response.m_headers = {{"Content-Type", "application/json"},
                                    {"Azureladder-Executed", "no"},
                                    {"Connection", "close"}};
    const auto request_id = valid_request_id(rejected_request.m_headers);
    if (!request_id.empty()) {
        body["request_id"] = request_id;
        rejection_response.m_headers.push_back({"Request-Id", request_id});
    }
    rejection_response.m_body = body.dump() + "\n";
    return rejection_response;
}

std::string valid_request_id(const header_fields& headers)
{
    constexpr std::size_t max_request_id_characters = 128;
    const auto* value = find_header(headers, "Request-Id");
    // A request target allows the same characters as an id: visible ASCII.
    const bool valid =
        value != nullptr && value->size() <= max_request_id_characters && is_request_target(*value);
    return valid ? *value : std::string();
}

} // namespace azureladder::http
