#include "cbor_scan.hpp"

#include <array>

namespace azureladder::wire {

namespace {

enum major_type : unsigned
{
    unsigned_integer = 0,
    negative_integer = 1,
    byte_string = 2,
    text_string = 3,
    array = 4,
    map = 5,
    tag = 6,
    simple = 7,
};

/// Additional information of a CBOR head, RFC 8949, section 3.
constexpr unsigned first_long_argument = 24;
constexpr unsigned last_long_argument = 27;
constexpr unsigned last_simple_value_used = 22; // null; 20 and 21 are false and true

struct scanner
{
    const std::uint8_t* m_data;
    std::size_t m_size;
    std::size_t m_position = 0;
    std::size_t m_items = 0;

    /// Number of items that each open map or array still expects.
    std::array<std::uint64_t, max_depth> m_expected_items{};
    std::size_t m_depth = 0;

    std::size_t remaining() const { return m_size - m_position; }
};

struct head
{
    unsigned m_major = 0;
    unsigned m_info = 0;
    std::uint64_t m_argument = 0;
};

std::optional<head> read_head(scanner& in)
{
    if (in.remaining() == 0)
        return std::nullopt;
    const unsigned first = in.m_data[in.m_position++];
    head result{first >> 5, first & 0x1fU, first & 0x1fU};
    if (result.m_info < first_long_argument)
        return result;
    if (result.m_info > last_long_argument)
        return std::nullopt;
    const std::size_t length = std::size_t(1) << (result.m_info - first_long_argument);
    if (in.remaining() < length)
        return std::nullopt;
    result.m_argument = 0;
    for (std::size_t i = 0; i < length; ++i)
        result.m_argument = result.m_argument << 8 | in.m_data[in.m_position++];
    return result;
}

std::optional<wire_error_kind> open_container(scanner& in, const head& item)
{
    const std::uint64_t per_entry = item.m_major == map ? 2 : 1;
    // Each item takes at least one byte, so a larger count cannot be satisfied.
    if (item.m_argument > in.remaining() / per_entry)
        return wire_error_kind::malformed;
    if (in.m_depth == max_depth)
        return wire_error_kind::too_large;
    in.m_expected_items[in.m_depth++] = item.m_argument * per_entry;
    return std::nullopt;
}

/// Skips one item; for a map or an array only its head.
std::optional<wire_error_kind> scan_item(scanner& in)
{
    const auto item = read_head(in);
    if (!item)
        return wire_error_kind::malformed;
    if (++in.m_items > max_items)
        return wire_error_kind::too_large;
    switch (item->m_major) {
    case unsigned_integer:
    case negative_integer:
        return std::nullopt;
    case byte_string:
    case text_string:
        if (item->m_argument > in.remaining())
            return wire_error_kind::malformed;
        in.m_position += item->m_argument;
        return std::nullopt;
    case array:
    case map:
        return open_container(in, *item);
    case simple:
        if (item->m_info <= last_simple_value_used || item->m_info > first_long_argument)
            return std::nullopt;
        return wire_error_kind::malformed;
    default:
        return wire_error_kind::malformed;
    }
}

} // namespace

std::optional<wire_error_kind> scan_cbor(const std::uint8_t* data, std::size_t size)
{
    if (size == 0 || data[0] >> 5 != map)
        return wire_error_kind::malformed;
    scanner in{data, size};
    do {
        if (in.m_depth > 0)
            --in.m_expected_items[in.m_depth - 1];
        if (const auto error = scan_item(in))
            return error;
        while (in.m_depth > 0 && in.m_expected_items[in.m_depth - 1] == 0)
            --in.m_depth;
    } while (in.m_depth > 0);
    if (in.remaining() > 0)
        return wire_error_kind::malformed;
    return std::nullopt;
}

bool is_valid_utf8(std::string_view text)
{
    // Smallest code point of each sequence length; a smaller one is an overlong form.
    constexpr std::uint32_t min_code_point[] = {0, 0x80, 0x800, 0x10000};
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto lead_byte = std::uint8_t(text[i]);
        if (lead_byte < 0x80)
            continue;
        const std::size_t continuation_bytes = lead_byte >= 0xf0 ? 3 : lead_byte >= 0xe0 ? 2 : 1;
        if (lead_byte < 0xc2 || lead_byte > 0xf4 || text.size() - i <= continuation_bytes)
            return false;
        std::uint32_t code_point = lead_byte & (0x3fU >> continuation_bytes);
        for (std::size_t k = 0; k < continuation_bytes; ++k) {
            const auto next = std::uint8_t(text[++i]);
            if (next >> 6 != 2)
                return false;
            code_point = code_point << 6 | (next & 0x3fU);
        }
        const bool surrogate = code_point >= 0xd800 && code_point <= 0xdfff;
        if (code_point < min_code_point[continuation_bytes] || code_point > 0x10ffff || surrogate)
            return false;
    }
    return true;
}

} // namespace azureladder::wire
