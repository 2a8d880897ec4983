#include <azureladder/sidecar/server_response.hpp>

#include <algorithm>
#include <string_view>

namespace azureladder::sidecar {

namespace {

constexpr int first_final_status = 200;
constexpr int last_status = 599;

bool is_token_char(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           marks.find(c) != std::string_view::npos;
}

bool is_control_byte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool is_token(const std::string& name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), is_token_char);
}

} // namespace

const char* find_defect(const server_response& response)
{
    if (response.m_status < first_final_status || response.m_status > last_status)
        return "invalid status";
    for (const auto& field : response.m_headers) {
        if (!is_token(field.m_name))
            return "invalid field name";
        if (std::any_of(field.m_value.begin(), field.m_value.end(), is_control_byte))
            return "control byte in a field value";
    }
    return nullptr;
}

} // namespace azureladder::sidecar
