#pragma once

#include "codec.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/// RapidCheck generators and comparison for all structures with a descriptor. They use the field
/// tables, so that a new field is covered without a change of the tests. Generators may only be
/// used in properties.
namespace azureladder::wire {

template <class Type, class = void>
struct is_described : std::false_type
{
};
template <class Type>
struct is_described<Type, std::void_t<decltype(descriptor<Type>::fields)>> : std::true_type
{
};

inline std::string generate_text(std::uint64_t limit, text_style style)
{
    auto text = *rc::gen::arbitrary<std::string>();
    if (style == text_style::utf8) {
        std::string valid;
        for (const char unit : text)
            valid += unit >= ' ' ? std::string(1, unit) : std::string("\xc3\xa9");
        text = valid;
    }
    // Stays below the limit, so that no character is truncated; another test covers the limit.
    return text.size() + 2 < limit ? text : std::string(limit, 'x');
}

inline endpoint generate_endpoint()
{
    const auto port = *rc::gen::arbitrary<std::uint16_t>();
    return *rc::gen::element(endpoint{"10.1.2.255", port}, endpoint{"fe80::1:2", port}, endpoint{});
}

template <class Type>
Type generate();

template <class Value>
Value generate_value(std::uint64_t limit, text_style style)
{
    if constexpr (std::is_same_v<Value, std::string>) {
        return generate_text(limit, style);
    } else if constexpr (std::is_same_v<Value, endpoint>) {
        return generate_endpoint();
    } else if constexpr (std::is_same_v<Value, double>) {
        return *rc::gen::element(-1.0, 0.0, 0.1, 1.0);
    } else if constexpr (std::is_same_v<Value, bool>) {
        return *rc::gen::arbitrary<bool>();
    } else if constexpr (std::is_enum_v<Value>) {
        return Value(*rc::gen::inRange<std::size_t>(0, enum_size<Value>));
    } else if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, duration>) {
        const auto number = *rc::gen::arbitrary<std::uint64_t>();
        return Value(std::min(number, limit));
    } else if constexpr (is_vector<Value>::value) {
        using item = typename Value::value_type;
        Value items;
        for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
            items.push_back(generate_value<item>(default_limit<item>(), style));
        return items;
    } else if constexpr (is_variant<Value>::value) {
        static_assert(std::is_same_v<Value, decltype(reply_frame::m_result)>);
        if (*rc::gen::arbitrary<bool>())
            return generate<reply_error>();
        auto content = generate<reply_content>();
        content.m_body_length = content.m_body.size();
        return content;
    } else {
        return generate<Value>();
    }
}

template <class Type>
Type generate()
{
    Type value;
    std::apply(
        [&](const auto&... fields) {
            ((value.*fields.m_member =
                  generate_value<std::decay_t<decltype(value.*fields.m_member)>>(fields.m_limit,
                                                                                 fields.m_style)),
             ...);
        },
        descriptor<Type>::fields);
    return value;
}

template <class Value>
bool equal(const Value& a, const Value& b)
{
    if constexpr (is_described<Value>::value) {
        return std::apply(
            [&](const auto&... fields) {
                return (equal(a.*fields.m_member, b.*fields.m_member) && ...);
            },
            descriptor<Value>::fields);
    } else if constexpr (is_vector<Value>::value) {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                          [](const auto& x, const auto& y) { return equal(x, y); });
    } else if constexpr (is_variant<Value>::value) {
        return a.index() == b.index() &&
               std::visit(
                   [&](const auto& held) {
                       return equal(held, std::get<std::decay_t<decltype(held)>>(b));
                   },
                   a);
    } else {
        return a == b;
    }
}

} // namespace azureladder::wire
