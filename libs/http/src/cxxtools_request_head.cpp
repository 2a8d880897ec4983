#include "cxxtools_request_head.hpp"

#include "head_syntax.hpp"

#include <cxxtools/http/request.h>

#include <algorithm>
#include <iterator>
#include <streambuf>

namespace azureladder::http {

namespace {

// cxxtools::StreamBuffer keeps up to this many bytes of the previous read before those of a new
// one.
constexpr std::size_t putback_bytes = 4;

/// Exposes the protected pointers of a stream buffer.
class stream_buffer_access : public std::streambuf
{
public:
    static std::string_view consumed(const std::streambuf& buffer)
    {
        char* (std::streambuf::*begin)() const = &stream_buffer_access::eback;
        char* (std::streambuf::*end)() const = &stream_buffer_access::gptr;
        return {(buffer.*begin)(), std::size_t((buffer.*end)() - (buffer.*begin)())};
    }
};

header_fields parsed_headers(const cxxtools::http::Request& parsed)
{
    header_fields headers;
    for (auto it = parsed.header().begin(); it != parsed.header().end(); ++it)
        headers.push_back({it->first, it->second});
    return headers;
}

/// Counts the header lines of a raw head; a folded line counts once.
std::size_t count_header_lines(std::string_view raw)
{
    std::size_t count = 0;
    for (auto at = raw.find('\n'); at != std::string_view::npos; at = raw.find('\n', at + 1)) {
        const char next = at + 1 < raw.size() ? raw[at + 1] : '\n';
        if (next != '\r' && next != '\n' && next != ' ' && next != '\t')
            ++count;
    }
    return count;
}

/// Returns the raw head, or an empty text when `consumed` does not contain all of it.
std::string_view find_raw_head(std::string_view consumed, const std::string& method,
                               std::size_t header_count)
{
    const auto start = consumed.rfind(method + " ", putback_bytes);
    if (start == std::string::npos)
        return {};
    const auto raw = consumed.substr(start);
    const auto first_line = raw.substr(0, raw.find('\n'));
    const bool is_request_line = first_line.find(" HTTP/") != std::string_view::npos;
    return is_request_line && count_header_lines(raw) == header_count ? raw : std::string_view();
}

/// Percent-encodes the bytes that must not appear literally in a path, because cxxtools has decoded
/// it.
std::string encode_path(const std::string& path)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    constexpr std::string_view literal = "/-._~!$&'()*+,;=:@";
    std::string encoded;
    for (const char c : path) {
        const auto byte = static_cast<unsigned char>(c);
        const bool alphanumeric =
            (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        if (alphanumeric || literal.find(c) != std::string_view::npos)
            encoded += c;
        else
            (encoded += '%').append({hex[byte >> 4U], hex[byte & 15U]});
    }
    return encoded;
}

result<request, request_rejection> request_head_from_parsed(const cxxtools::http::Request& parsed,
                                                            header_fields headers)
{
    const auto is_valid = [](const header_field& field) {
        return is_token(field.m_name) && is_field_value(field.m_value);
    };
    if (!is_token(parsed.method()) || !std::all_of(headers.begin(), headers.end(), is_valid))
        return request_rejection{400, "the method or a header field of the request is malformed"};
    request head;
    head.m_method = parsed.method();
    head.m_target = encode_path(parsed.url());
    if (!parsed.qparams().empty())
        head.m_target += "?" + parsed.qparams();
    head.m_headers = std::move(headers);
    return head;
}

} // namespace

std::string_view consumed_bytes(const std::streambuf& buffer)
{
    return stream_buffer_access::consumed(buffer);
}

result<request, request_rejection> extract_request_head(const cxxtools::http::Request& parsed,
                                                        std::string_view consumed)
{
    const auto& parsed_header = parsed.header();
    const auto count = std::distance(parsed_header.begin(), parsed_header.end());
    const auto raw = find_raw_head(consumed, parsed.method(), std::size_t(count));
    if (raw.empty())
        return request_head_from_parsed(parsed, parsed_headers(parsed));
    return parse_request_head(raw);
}

} // namespace azureladder::http
