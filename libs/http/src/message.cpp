#include <azureladder/http/message.hpp>

#include <algorithm>

namespace azureladder::http {

namespace {

// The <cctype> functions depend on the locale, but header names are ASCII.
char lower_ascii(char c)
{
    return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
}

struct reason
{
    int m_status;
    std::string_view m_phrase;
};

constexpr reason reasons[] = {
    {100, "Continue"},
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {411, "Length Required"},
    {412, "Precondition Failed"},
    {413, "Content Too Large"},
    {417, "Expectation Failed"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
};

} // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return lower_ascii(x) == lower_ascii(y);
           });
}

const std::string* find_header(const header_fields& headers, std::string_view name)
{
    for (const auto& field : headers) {
        if (equals_ignoring_case(field.m_name, name))
            return &field.m_value;
    }
    return nullptr;
}

std::size_t count_headers(const header_fields& headers, std::string_view name)
{
    return std::size_t(
        std::count_if(headers.begin(), headers.end(), [name](const header_field& field) {
            return equals_ignoring_case(field.m_name, name);
        }));
}

void set_header(header_fields& headers, std::string_view name, std::string value)
{
    const auto has_name = [name](const header_field& field) {
        return equals_ignoring_case(field.m_name, name);
    };
    headers.erase(std::remove_if(headers.begin(), headers.end(), has_name), headers.end());
    headers.push_back({std::string(name), std::move(value)});
}

std::string_view reason_phrase(int status)
{
    for (const auto& row : reasons) {
        if (row.m_status == status)
            return row.m_phrase;
    }
    return "Status";
}

} // namespace azureladder::http
