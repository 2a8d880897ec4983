#pragma once

#include <azureladder/routing/routing_configuration.hpp>
#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>
#include <azureladder/sidecar_runtime/http_message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace azureladder::sidecar_runtime {

/// Reason why a message could not be decoded, for logs and for the response to its sender.
struct decode_error
{
    std::string m_reason;
};

/// A decoded message of a backend server to the registry address.
using registry_message =
    std::variant<sidecar::backend_announced, sidecar::backend_removed, decode_error>;

/// Decoded response of a backend server to one execution.
struct backend_response
{
    /// False for a late response to another request on the same connection.
    bool m_matches_request = true;
    sidecar::execution_ended m_outcome;
};

/// One key-value item of the store.
struct store_item
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    bool m_deleted = false;
};

/// Decoded response of the store to a read of an item, a list page or a watch.
struct store_read_response
{
    std::vector<store_item> m_items;
    bool m_has_more = false;

    /// Revision of the store when it sent this response.
    std::uint64_t m_revision = 0;

    /// The store no longer keeps the events after the requested revision.
    bool m_is_revision_compacted = false;
};

/// Decoded response of the store to a conditional put.
struct store_put_response
{
    sidecar::write_result m_result = sidecar::write_result::unknown;
    std::uint64_t m_revision = 0;

    /// After a conflict: current state of the items that the conditions name.
    std::vector<store_item> m_current_items;
};

/// Encodes and decodes the messages of the platform: requests of callers, calls of backend servers,
/// and the store. Stateless, makes no decisions.
class protocol_codec
{
public:
    virtual ~protocol_codec() = default;

    virtual std::variant<sidecar::caller_request, decode_error>
    decode_caller_request(http_request request) const = 0;

    virtual http_request encode_execution(const sidecar::start_execution& execution) const = 0;
    virtual backend_response decode_backend_response(const sidecar::start_execution& execution,
                                                     http_response response) const = 0;

    virtual bool is_readiness_probe(const http_request& request) const = 0;
    virtual registry_message decode_registry_message(const http_request& request) const = 0;

    virtual http_request encode_grant(const sidecar::grant_keys& command) const = 0;
    virtual http_request encode_release(const sidecar::release_keys& command) const = 0;
    virtual sidecar::key_command_ended
    decode_key_command_response(std::uint64_t command_id, const http_response& response) const = 0;

    virtual http_request encode_backend_check(const sidecar::check_backend& command) const = 0;
    virtual sidecar::backend_checked
    decode_backend_check_response(const sidecar::check_backend& command,
                                  const http_response& response) const = 0;

    /// Prefix of the store keys that operators write.
    virtual std::string operator_key_prefix() const = 0;
    virtual bool is_configuration_key(const std::string& key) const = 0;

    /// Zone that an evacuation key of the operator names; empty for other keys.
    virtual std::string evacuated_zone(const std::string& key) const = 0;

    virtual std::variant<routing::routing_configuration, decode_error>
    decode_routing_configuration(const std::string& text) const = 0;

    /// Era of the store, which rises when the store returns to an earlier state; 0 without one.
    virtual std::uint64_t store_era(const http_response& response) const = 0;

    virtual http_request encode_item_read(const std::string& key) const = 0;

    /// `stale` permits a result that is some seconds old, which costs less.
    virtual http_request encode_list(const std::string& prefix, const std::string& after_key,
                                     bool stale) const = 0;
    virtual http_request encode_watch(const std::string& prefix, std::uint64_t after_revision,
                                      milliseconds wait) const = 0;
    virtual std::variant<store_read_response, decode_error>
    decode_store_items(const http_response& response) const = 0;

    /// Puts one item. Without `expected_revision` the put is unconditional; 0 requires that the
    /// item does not exist. `lease` 0 attaches no lease.
    virtual http_request encode_put(const std::string& key, const std::string& value,
                                    std::optional<std::uint64_t> expected_revision,
                                    std::uint64_t lease) const = 0;
    virtual store_put_response decode_put_response(const http_response& response) const = 0;

    virtual http_request encode_lease_creation(milliseconds ttl) const = 0;

    /// Id of the lease that the response reports.
    virtual std::variant<std::uint64_t, decode_error>
    decode_lease_id(const http_response& response) const = 0;
    virtual http_request encode_lease_renewal(std::uint64_t lease) const = 0;
};

} // namespace azureladder::sidecar_runtime
