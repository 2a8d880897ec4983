#include "message_generators.hpp"

#include <azureladder/wire/envelope.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <random>

namespace azureladder::wire {
namespace {

using bytes = std::vector<std::uint8_t>;

/// RapidCheck reads its parameters from the environment; a fixed seed makes failures reproducible.
const int seed_is_set = setenv("RC_PARAMS", "seed=20261204", 1);

/// Calls `function` with a default value of each alternative of `Variant`, messages first.
template <class Variant, std::size_t Index = 0, class Function>
void for_each_alternative(Function function)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        using alternative = std::variant_alternative_t<Index, Variant>;
        if constexpr (std::is_same_v<alternative, core::message>)
            for_each_alternative<core::message>(function);
        else
            function(alternative{});
        for_each_alternative<Variant, Index + 1>(function);
    }
}

template <class Message>
payload to_payload(const Message& message)
{
    if constexpr (std::is_constructible_v<core::message, Message>)
        return core::message(message);
    else
        return message;
}

template <class Message>
bytes encode_message_of(const Message& message)
{
    return encode({{"node-1", 7}, {"10.0.0.1", 4000}, to_payload(message)});
}

std::optional<wire_error_kind> decode_failure(const bytes& input)
{
    const auto output = decode(input.data(), input.size());
    if (output)
        return std::nullopt;
    return output.error().m_kind;
}

std::optional<wire_error_kind> decode_failure(const json& map)
{
    return decode_failure(json::to_cbor(map));
}

// Guards against fields that are altered or omitted by encoding and decoding, in any message.
RC_GTEST_PROP(envelope, round_trip_of_every_message, ())
{
    for_each_alternative<payload>([](const auto& alternative) {
        using message = std::decay_t<decltype(alternative)>;
        const auto sent = generate<message>();
        const envelope outer{generate<member_id>(), generate_endpoint(), to_payload(sent)};
        const auto encoded = encode(outer);
        const auto received = decode(encoded.data(), encoded.size());
        RC_ASSERT(received.has_value());
        RC_ASSERT(received.value().m_from == outer.m_from);
        RC_ASSERT(received.value().m_reply_to == outer.m_reply_to);
        RC_ASSERT(received.value().m_payload.index() == outer.m_payload.index());
        if constexpr (std::is_constructible_v<core::message, message>)
            RC_ASSERT(equal(
                sent, std::get<message>(std::get<core::message>(received.value().m_payload))));
        else
            RC_ASSERT(equal(sent, std::get<message>(received.value().m_payload)));
    });
}

// Guards against reads beyond the end and against truncated messages that are accepted.
RC_GTEST_PROP(envelope, truncated_messages_are_rejected, ())
{
    for_each_alternative<payload>([](const auto& alternative) {
        auto encoded = encode_message_of(generate<std::decay_t<decltype(alternative)>>());
        for (auto size = encoded.size(); size-- > 0;) {
            // A copy of the exact size lets AddressSanitizer detect a read beyond the end.
            const bytes part(encoded.begin(), encoded.begin() + std::ptrdiff_t(size));
            RC_ASSERT(decode_failure(part).has_value());
        }
        encoded.push_back(0);
        RC_ASSERT(decode_failure(encoded) == wire_error_kind::malformed);
    });
}

// Guards against crashes on corrupted messages. Some corruptions yield another valid message.
RC_GTEST_PROP(envelope, flipped_bytes_do_not_crash, ())
{
    for_each_alternative<payload>([](const auto& alternative) {
        const auto encoded = encode_message_of(generate<std::decay_t<decltype(alternative)>>());
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        constexpr int trials = 64;
        for (int i = 0; i < trials; ++i) {
            auto damaged = encoded;
            damaged[random() % damaged.size()] ^= std::uint8_t(1 + random() % 255);
            const auto output = decode(damaged.data(), damaged.size());
            if (output)
                (void)encode(output.value());
        }
    });
}

// Guards against crashes on bytes of another protocol.
RC_GTEST_PROP(envelope, random_bytes_are_rejected, (const bytes& input))
{
    RC_ASSERT(decode_failure(input).has_value());
}

// Guards against missing fields and wrong types that are accepted, in any field of any message.
TEST(envelope, each_field_is_required_and_typed)
{
    for_each_alternative<payload>([](const auto& alternative) {
        const auto map = json::from_cbor(encode_message_of(alternative));
        for (const auto& [key, value] : map.items()) {
            auto changed = map;
            changed.erase(key);
            EXPECT_EQ(decode_failure(changed), wire_error_kind::missing_field) << key;
            changed[key] = nullptr;
            EXPECT_EQ(decode_failure(changed), wire_error_kind::wrong_type) << key;
            if (value.is_number_unsigned()) {
                changed[key] = -1;
                EXPECT_EQ(decode_failure(changed), wire_error_kind::out_of_range) << key;
            }
        }
    });
}

// Guards against compact messages that are accepted with a wrong type or number of items.
TEST(envelope, each_item_of_a_compact_message_is_required_and_typed)
{
    for (const payload& sent : {payload(core::message(core::lease_request{})),
                                payload(core::message(core::lease_grant{}))}) {
        const auto map = json::from_cbor(encode({{"node-1", 7}, {"10.0.0.1", 4000}, sent}));
        auto changed = map;
        for (std::size_t i = 0; i < map["l"].size(); ++i) {
            changed = map;
            changed["l"][i] = nullptr;
            EXPECT_EQ(decode_failure(changed), wire_error_kind::wrong_type) << i;
            if (map["l"][i].is_number_unsigned()) {
                changed["l"][i] = -1;
                EXPECT_EQ(decode_failure(changed), wire_error_kind::out_of_range) << i;
            }
        }
        changed = map;
        changed["l"].push_back(1);
        EXPECT_EQ(decode_failure(changed), wire_error_kind::wrong_type);
        changed["l"] = json::array();
        EXPECT_EQ(decode_failure(changed), wire_error_kind::wrong_type);
    }
}

// Guards against messages of another protocol version that are processed.
TEST(envelope, unknown_versions_and_types_are_rejected)
{
    auto map = json::from_cbor(encode_message_of(core::revision_probe{7}));
    map["t"] = 99;
    EXPECT_EQ(decode_failure(map), wire_error_kind::unknown_type);
    map["v"] = 2;
    EXPECT_EQ(decode_failure(map), wire_error_kind::unknown_version);
}

// Guards against values outside the range of the receiver's types.
TEST(envelope, values_out_of_range_are_rejected)
{
    const auto decode_failure_with = [](const payload& value, const char* key,
                                        const json& replacement) {
        auto map = json::from_cbor(encode({{"node-1", 7}, {"10.0.0.1", 4000}, value}));
        map[key] = replacement;
        return decode_failure(map);
    };
    const payload ack = core::message(core::release_ack{1, {{{"orders", 1}, 2}}});
    const payload refused = core::message(core::lease_refusal{});
    EXPECT_EQ(decode_failure_with(refused, "q", std::size(core::lease_refusal_reason_names)),
              wire_error_kind::out_of_range);
    EXPECT_EQ(decode_failure_with(refused, "s", 1.5), wire_error_kind::wrong_type);
    EXPECT_EQ(decode_failure_with(refused, "n", std::string(257, 'n')), wire_error_kind::too_large);
    EXPECT_EQ(decode_failure_with(refused, "n", "\xff"), wire_error_kind::out_of_range);
    EXPECT_EQ(decode_failure_with(refused, "a", json::binary({1, 2, 3})),
              wire_error_kind::out_of_range);
    const json wide_index = json::array({{{"orders", 0x1'0000'0000}, 2}});
    EXPECT_EQ(decode_failure_with(ack, "rf", wide_index), wire_error_kind::out_of_range);
    EXPECT_EQ(decode_failure_with(ack, "rf", {{1, 2, 3}}), wire_error_kind::wrong_type);
}

// Guards against a truncated reply that is delivered as a complete one.
TEST(envelope, reply_with_another_length_is_rejected)
{
    reply_frame reply;
    reply.m_result = reply_content{200, {}, 3, "abc"};
    EXPECT_EQ(decode_failure(encode_message_of(reply)), std::nullopt);
    reply.m_result = reply_content{200, {}, 4, "abc"};
    EXPECT_EQ(decode_failure(encode_message_of(reply)), wire_error_kind::out_of_range);
}

// Guards against a short input that exhausts the stack or the memory of its receiver.
TEST(envelope, nesting_and_size_are_limited)
{
    const auto repeated = [](std::uint8_t unit, std::size_t count) {
        bytes input = {0xa1, 0x61, 'v'};
        input.insert(input.end(), count, unit);
        return decode_failure(input);
    };
    constexpr std::size_t many = 2'000'000;
    EXPECT_EQ(repeated(0x81, many), wire_error_kind::too_large); // arrays of one item
    EXPECT_EQ(repeated(0x7f, many), wire_error_kind::malformed); // strings of indefinite length
    EXPECT_EQ(repeated(0xc1, many), wire_error_kind::malformed); // tags
    EXPECT_EQ(repeated(0x9f, many), wire_error_kind::malformed); // arrays of indefinite length
    EXPECT_EQ(repeated(0x9b, 9), wire_error_kind::malformed);    // array of 2^63 items
    EXPECT_EQ(decode_failure(bytes(max_frame_bytes + 1, 0xa0)), wire_error_kind::too_large);
    bytes wide = {0xa1, 0x61, 'v', 0x9a, 0, 0x10, 0, 0};
    wide.insert(wide.end(), 0x100000, 0);
    EXPECT_EQ(decode_failure(wide), wire_error_kind::too_large);
}

// Guards against lease requests above the size budget of docs/design.md, section 6.
TEST(envelope, lease_request_is_small)
{
    core::lease_request request;
    request.m_plan_version = 60'000;
    request.m_witness = 0xfedcba9876543210;
    request.m_sequence = 4'000'000'000;
    request.m_revision = 4'000'000'000;
    request.m_directory_digest = 0xfedcba9876543210;
    const envelope sent{{"node-0123456789a", 0xfedcba9876543210},
                        {"255.255.255.255", 65'535},
                        core::message(request)};
    EXPECT_LE(encode(sent).size(), 90U);
}

// Guards against steady-state lease traffic above the budget of docs/design.md, section 1.7:
// 3 KB/s for 15 requests and 15 grants a second in each direction.
TEST(envelope, steady_lease_traffic_fits_the_budget)
{
    const member_id from{"node-12345", 0xfedcba9876543210};
    core::lease_request request;
    request.m_plan_version = 60'000;
    request.m_witness = 0xfedcba9876543210;
    request.m_sequence = 4'000'000'000;
    request.m_revision = 60'000;
    core::lease_grant grant;
    grant.m_plan_version = 60'000;
    grant.m_sequence = 4'000'000'000;
    grant.m_revision = 60'000;
    const auto bytes = encode({from, {}, core::message(request)}).size() +
                       encode({from, {}, core::message(grant)}).size();
    EXPECT_LE(30 * bytes, 3'000U);
}

// Guards against a table of all slices of a region that exceeds the size of one frame.
TEST(envelope, table_of_a_region_fits_into_a_frame)
{
    core::directory_push table;
    table.m_plans.resize(200);
    for (std::uint32_t i = 0; i < 16'384; ++i) {
        const core::owned_slice slice{{"service-0123456789", i}, 100'000};
        table.m_plans[i % 200].m_slices.push_back(slice);
        table.m_locations.push_back({slice, {"node-0123456789a", 0xfedcba9876543210}});
    }
    const auto encoded = encode_message_of(table);
    EXPECT_LE(encoded.size(), max_frame_bytes);
    EXPECT_EQ(decode_failure(encoded), std::nullopt);
}

// Guards against messages on another channel than docs/design.md, section 8, specifies, and
// against notices that exceed the size of a datagram.
TEST(envelope, channels)
{
    EXPECT_EQ(channel_for(core::lease_request{}), channel::datagram);
    EXPECT_EQ(channel_for(core::revision_ack{}), channel::datagram);
    EXPECT_EQ(channel_for(core::release_ack{}), channel::link);
    EXPECT_EQ(channel_for(core::directory_pull{}), channel::link);
    core::owner_notice notice;
    notice.m_slices.resize(10);
    EXPECT_EQ(channel_for(notice), channel::datagram);
    notice.m_slices.resize(1'000);
    EXPECT_EQ(channel_for(notice), channel::link);
    const envelope largest{{std::string(64, 'n'), 0xfedcba9876543210}, {"fe80::1", 65'535}, {}};
    auto sent = largest;
    for (notice.m_slices.clear(); fits_datagram(notice); notice.m_slices.emplace_back())
        sent.m_payload = core::message(notice);
    EXPECT_LE(encode(sent).size(), max_datagram_bytes);
}

} // namespace
} // namespace azureladder::wire
