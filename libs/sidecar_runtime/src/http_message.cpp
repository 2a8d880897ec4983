#include <azureladder/sidecar_runtime/http_message.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace azureladder::sidecar_runtime {

bool same_header_name(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view header_value(const sidecar::header_fields& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& field) {
        return same_header_name(field.m_name, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->m_value);
}

bool is_hop_by_hop(std::string_view name)
{
    constexpr std::array<std::string_view, 11> names = {"Connection",
                                                        "Keep-Alive",
                                                        "Proxy-Connection",
                                                        "Transfer-Encoding",
                                                        "TE",
                                                        "Trailer",
                                                        "Upgrade",
                                                        "Content-Length",
                                                        "Expect",
                                                        "Proxy-Authenticate",
                                                        "Proxy-Authorization"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return same_header_name(known, name); });
}

} // namespace azureladder::sidecar_runtime
