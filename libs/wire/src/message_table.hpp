#pragma once

#include "descriptor.hpp"
#include <azureladder/core/directory.hpp>

/// Field tables of all messages, used for encoding and decoding. A new field is one row here; a
/// receiver rejects messages without it.
namespace azureladder::wire {

template <>
inline constexpr std::size_t enum_size<executed> = count_values(executed_names);
template <>
inline constexpr std::size_t enum_size<request_class> = count_values(request_class_names);
template <>
inline constexpr std::size_t enum_size<core::error_code> = count_values(core::error_code_names);
template <>
inline constexpr std::size_t
    enum_size<core::lease_refusal_reason> = count_values(core::lease_refusal_reason_names);
template <>
inline constexpr std::size_t enum_size<core::claim_state> = count_values(core::claim_state_names);
template <>
inline constexpr std::size_t
    enum_size<core::claim_verdict> = count_values(core::claim_verdict_names);

/// Longest "service/idempotency key": 256 bytes of service name, a slash and 128 bytes of key.
inline constexpr std::uint64_t max_claim_key_bytes = 385;

/// Longest body and content type stored with a claim, in bytes; docs/design.md, section 4.2.
inline constexpr std::uint64_t max_kept_body_bytes = 4'096;
inline constexpr std::uint64_t max_header_bytes = 65'536;
inline constexpr std::uint64_t max_headers = 256;
inline constexpr std::uint64_t max_target_bytes = 65'536;
inline constexpr std::uint64_t max_key_bytes = 512;
inline constexpr std::uint64_t max_request_ms = 600'000;
inline constexpr std::uint64_t max_message_bytes = 4'096;

template <>
struct descriptor<member_id>
{
    static constexpr bool as_array = true;
    static constexpr auto fields = std::make_tuple(make_field("n", &member_id::m_node),
                                                   make_field("i", &member_id::m_incarnation));
};

template <>
struct descriptor<slice_id>
{
    static constexpr bool as_array = true;
    static constexpr auto fields = std::make_tuple(make_field("s", &slice_id::m_space, 513),
                                                   make_field("x", &slice_id::m_index));
};

template <>
struct descriptor<core::owned_slice>
{
    static constexpr bool as_array = true;
    static constexpr auto fields = std::make_tuple(make_field("s", &core::owned_slice::m_slice),
                                                   make_field("e", &core::owned_slice::m_epoch));
};

template <>
struct descriptor<core::planned_move>
{
    static constexpr bool as_array = true;
    static constexpr auto fields =
        std::make_tuple(make_field("s", &core::planned_move::m_slice),
                        make_field("r", &core::planned_move::m_receiver));
};

template <>
struct descriptor<correlation>
{
    static constexpr bool as_array = true;
    static constexpr auto fields = std::make_tuple(make_field("i", &correlation::m_incarnation),
                                                   make_field("c", &correlation::m_counter));
};

template <>
struct descriptor<header>
{
    static constexpr bool as_array = true;
    static constexpr auto fields =
        std::make_tuple(make_bytes("n", &header::first, max_header_bytes),
                        make_bytes("v", &header::second, max_header_bytes));
};

template <>
struct descriptor<std::pair<core::owned_slice, member_id>>
{
    using location = std::pair<core::owned_slice, member_id>;
    static constexpr bool as_array = true;
    static constexpr auto fields =
        std::make_tuple(make_field("s", &location::first), make_field("o", &location::second));
};

template <>
struct descriptor<core::claim>
{
    static constexpr auto fields = std::make_tuple(
        make_field("s", &core::claim::m_slice),
        make_bytes("k", &core::claim::m_key, max_claim_key_bytes),
        make_field("st", &core::claim::m_state), make_field("g", &core::claim::m_age),
        make_field("h", &core::claim::m_has_reply), make_field("c", &core::claim::m_status),
        make_bytes("ct", &core::claim::m_content_type, max_kept_body_bytes),
        make_bytes("b", &core::claim::m_body, max_kept_body_bytes));
};

template <>
struct descriptor<core::plan>
{
    static constexpr auto fields = std::make_tuple(
        make_field("m", &core::plan::m_member), make_field("g", &core::plan::m_generation),
        make_field("p", &core::plan::m_version), make_field("z", &core::plan::m_zone),
        make_field("ha", &core::plan::m_http_address),
        make_field("pa", &core::plan::m_peer_address), make_field("sv", &core::plan::m_service),
        make_field("sr", &core::plan::m_server), make_field("cf", &core::plan::m_checks_fencing),
        make_field("w", &core::plan::m_witnesses),
        make_field("pw", &core::plan::m_previous_witnesses),
        make_field("sb", &core::plan::m_standbys),
        make_field("sp", &core::plan::m_previous_standbys), make_field("sl", &core::plan::m_slices),
        make_field("mv", &core::plan::m_moves));
};

template <>
struct descriptor<core::lease_request>
{
    static constexpr std::uint8_t code = 1;
    static constexpr bool compact = true;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields =
        std::make_tuple(make_field("p", &core::lease_request::m_plan_version),
                        make_field("w", &core::lease_request::m_witness),
                        make_field("s", &core::lease_request::m_sequence),
                        make_field("r", &core::lease_request::m_revision),
                        make_field("d", &core::lease_request::m_directory_digest));
};

template <>
struct descriptor<core::lease_grant>
{
    static constexpr std::uint8_t code = 2;
    static constexpr bool compact = true;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields =
        std::make_tuple(make_field("p", &core::lease_grant::m_plan_version),
                        make_field("s", &core::lease_grant::m_sequence),
                        make_field("r", &core::lease_grant::m_revision),
                        make_field("d", &core::lease_grant::m_directory_digest));
};

template <>
struct descriptor<core::lease_refusal>
{
    static constexpr std::uint8_t code = 3;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields =
        std::make_tuple(make_field("q", &core::lease_refusal::m_reason),
                        make_field("s", &core::lease_refusal::m_sequence),
                        make_field("r", &core::lease_refusal::m_revision),
                        make_field("w", &core::lease_refusal::m_requested_witness));
};

template <>
struct descriptor<core::fence_promise>
{
    static constexpr std::uint8_t code = 4;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields =
        std::make_tuple(make_field("m", &core::fence_promise::m_member),
                        make_field("p", &core::fence_promise::m_plan_version));
};

template <>
struct descriptor<core::fence_ack>
{
    static constexpr std::uint8_t code = 5;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields = std::make_tuple(make_field("m", &core::fence_ack::m_member));
};

template <>
struct descriptor<core::revision_probe>
{
    static constexpr std::uint8_t code = 6;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields =
        std::make_tuple(make_field("r", &core::revision_probe::m_revision));
};

template <>
struct descriptor<core::revision_ack>
{
    static constexpr std::uint8_t code = 7;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields =
        std::make_tuple(make_field("r", &core::revision_ack::m_revision));
};

template <>
struct descriptor<core::owner_notice>
{
    static constexpr std::uint8_t code = 8;
    static constexpr channel preferred_channel = channel::datagram;
    static constexpr auto fields = std::make_tuple(make_field("o", &core::owner_notice::m_owner),
                                                   make_field("sl", &core::owner_notice::m_slices));
};

template <>
struct descriptor<core::release>
{
    static constexpr std::uint8_t code = 9;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields = std::make_tuple(make_field("p", &core::release::m_plan_version),
                                                   make_field("sl", &core::release::m_slices),
                                                   make_field("cl", &core::release::m_claims));
};

template <>
struct descriptor<core::release_ack>
{
    static constexpr std::uint8_t code = 10;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("p", &core::release_ack::m_plan_version),
                        make_field("rf", &core::release_ack::m_refused));
};

template <>
struct descriptor<core::claim_request>
{
    static constexpr std::uint8_t code = 13;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("o", &core::claim_request::m_token),
                        make_field("s", &core::claim_request::m_slice),
                        make_bytes("k", &core::claim_request::m_key, max_claim_key_bytes));
};

template <>
struct descriptor<core::claim_reply>
{
    static constexpr std::uint8_t code = 14;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("o", &core::claim_reply::m_token),
                        make_field("q", &core::claim_reply::m_verdict),
                        make_field("c", &core::claim_reply::m_status),
                        make_bytes("ct", &core::claim_reply::m_content_type, max_kept_body_bytes),
                        make_bytes("b", &core::claim_reply::m_body, max_kept_body_bytes));
};

template <>
struct descriptor<core::claim_result>
{
    static constexpr std::uint8_t code = 15;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("o", &core::claim_result::m_token),
                        make_field("cl", &core::claim_result::m_claim),
                        make_field("x", &core::claim_result::m_executed));
};

template <>
struct descriptor<core::claim_result_ack>
{
    static constexpr std::uint8_t code = 23;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("o", &core::claim_result_ack::m_token));
};

template <>
struct descriptor<core::claim_copy>
{
    static constexpr std::uint8_t code = 16;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("s", &core::claim_copy::m_sequence),
                        make_field("cl", &core::claim_copy::m_claim),
                        make_field("wd", &core::claim_copy::m_withdrawn));
};

template <>
struct descriptor<core::claim_copy_ack>
{
    static constexpr std::uint8_t code = 17;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("s", &core::claim_copy_ack::m_sequence));
};

template <>
struct descriptor<core::claim_baseline>
{
    static constexpr std::uint8_t code = 18;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("sl", &core::claim_baseline::m_slice));
};

template <>
struct descriptor<core::config_pull>
{
    static constexpr std::uint8_t code = 19;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("r", &core::config_pull::m_known_revision));
};

template <>
struct descriptor<core::config_push>
{
    static constexpr std::uint8_t code = 20;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("r", &core::config_push::m_revision),
                        make_bytes("c", &core::config_push::m_document, max_frame_bytes));
};

template <>
struct descriptor<core::directory_pull>
{
    static constexpr std::uint8_t code = 21;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields = std::make_tuple(make_field(
        "b", &core::directory_pull::m_bucket_digests, std::uint64_t(core::directory_bucket_count)));
};

template <>
struct descriptor<core::directory_push>
{
    static constexpr std::uint8_t code = 22;
    static constexpr channel preferred_channel = channel::link;
    static constexpr auto fields =
        std::make_tuple(make_field("p", &core::directory_push::m_plans),
                        make_field("l", &core::directory_push::m_locations));
};

template <>
struct descriptor<request_frame>
{
    static constexpr std::uint8_t code = 32;
    static constexpr auto fields = std::make_tuple(
        make_field("c", &request_frame::m_correlation), make_field("at", &request_frame::m_attempt),
        make_bytes("m", &request_frame::m_method),
        make_bytes("u", &request_frame::m_target, max_target_bytes),
        make_field("h", &request_frame::m_headers, max_headers),
        make_bytes("b", &request_frame::m_body, max_frame_bytes),
        make_bytes("id", &request_frame::m_request_id), make_bytes("sv", &request_frame::m_service),
        make_bytes("cu", &request_frame::m_customer, max_key_bytes),
        make_field("cl", &request_frame::m_class),
        make_bytes("k", &request_frame::m_key, max_key_bytes),
        make_bytes("ik", &request_frame::m_idempotency_key),
        make_field("ip", &request_frame::m_idempotent), make_field("cd", &request_frame::m_claimed),
        make_field("ms", &request_frame::m_remaining_ms, max_request_ms));
};

template <>
struct descriptor<reply_content>
{
    static constexpr auto fields =
        std::make_tuple(make_field("c", &reply_content::m_status),
                        make_field("h", &reply_content::m_headers, max_headers),
                        make_field("l", &reply_content::m_body_length, max_frame_bytes),
                        make_bytes("b", &reply_content::m_body, max_frame_bytes));
};

template <>
struct descriptor<reply_error>
{
    static constexpr auto fields =
        std::make_tuple(make_field("c", &reply_error::m_code),
                        make_bytes("m", &reply_error::m_message, max_message_bytes));
};

template <>
struct descriptor<reply_frame>
{
    static constexpr std::uint8_t code = 33;
    static constexpr auto fields = std::make_tuple(
        make_field("c", &reply_frame::m_correlation), make_field("at", &reply_frame::m_attempt),
        make_field("x", &reply_frame::m_executed), make_field("q", &reply_frame::m_result),
        make_field("ld", &reply_frame::m_reported_load));
};

template <>
struct descriptor<cancel_frame>
{
    static constexpr std::uint8_t code = 34;
    static constexpr auto fields = std::make_tuple(make_field("c", &cancel_frame::m_correlation));
};

} // namespace azureladder::wire
