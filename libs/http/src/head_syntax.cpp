#include "head_syntax.hpp"

#include <algorithm>
#include <array>

namespace azureladder::http {

namespace {

constexpr std::size_t byte_values = 256;

constexpr std::array<bool, byte_values> make_token_table()
{
    std::array<bool, byte_values> table{};
    for (const char c : std::string_view("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"))
        table[static_cast<unsigned char>(c)] = true;
    return table;
}

bool is_token_char(char c)
{
    static constexpr auto table = make_token_table();
    return table[static_cast<unsigned char>(c)];
}

} // namespace

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_request_target(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte > 0x20 && byte < 0x7f;
    });
}

bool has_no_body(std::string_view method, int status)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return method == "HEAD" || status == no_content || status == not_modified;
}

bool is_field_value(std::string_view value)
{
    return std::all_of(value.begin(), value.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool next_line(std::string_view& text, std::string_view& line)
{
    const auto end = text.find_first_of("\r\n");
    if (end == std::string_view::npos || text.substr(end, 2) != "\r\n")
        return false;
    line = text.substr(0, end);
    text.remove_prefix(end + 2);
    return true;
}

bool parse_header_lines(std::string_view text, header_fields& headers)
{
    std::string_view line;
    while (next_line(text, line)) {
        if (line.empty())
            return text.empty();
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
            return false;
        const auto value = trim(line.substr(colon + 1));
        if (!is_field_value(value))
            return false;
        headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return false;
}

bool parse_decimal(std::string_view text, std::uint64_t& number)
{
    constexpr std::size_t max_digits = 18;
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    if (text.empty() || text.size() > max_digits ||
        !std::all_of(text.begin(), text.end(), is_digit))
        return false;
    number = 0;
    for (const char c : text)
        number = number * 10 + std::uint64_t(c - '0');
    return true;
}

} // namespace azureladder::http
