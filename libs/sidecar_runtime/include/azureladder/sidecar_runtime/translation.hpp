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

/// A message that can't be used, with a plain reason for the log or the sender.
struct translation_error
{
    std::string m_reason;
};

/// What a backend server said at the registry address.
using registry_message =
    std::variant<sidecar::backend_announced, sidecar::backend_removed, translation_error>;

/// Answer of a backend server to one execution.
struct backend_reply
{
    /// False for a late answer to another request on the same connection.
    bool m_is_for_request = true;
    sidecar::execution_ended m_ended;
};

/// One item of the store.
struct store_item
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    bool m_deleted = false;
};

/// Answer of the store to a read of an item, a page or a watch.
struct store_items
{
    std::vector<store_item> m_items;
    bool m_has_more = false;

    /// Revision of the store at this answer.
    std::uint64_t m_revision = 0;

    /// The events after the asked revision are no longer known.
    bool m_history_lost = false;
};

/// Outcome of a change under a condition.
struct store_change
{
    sidecar::write_result m_result = sidecar::write_result::unknown;
    std::uint64_t m_revision = 0;

    /// After a conflict: the items of the conditions as they are now.
    std::vector<store_item> m_present;
};

/// Names and formats of the world outside. Translates only.
class translation
{
public:
    virtual ~translation() = default;

    virtual std::variant<sidecar::caller_request, translation_error>
    read_caller_request(http_request request) const = 0;

    virtual http_request write_execution(const sidecar::start_execution& execution) const = 0;
    virtual backend_reply read_backend_reply(const sidecar::start_execution& execution,
                                             http_response response) const = 0;

    virtual bool is_ready_probe(const http_request& request) const = 0;
    virtual registry_message read_registry_message(const http_request& request) const = 0;

    virtual http_request write_grant(const sidecar::grant_keys& order) const = 0;
    virtual http_request write_release(const sidecar::release_keys& order) const = 0;
    virtual sidecar::order_ended read_order_reply(std::uint64_t order,
                                                  const http_response& response) const = 0;

    /// Keys that the operator writes.
    virtual std::string operator_prefix() const = 0;
    virtual bool is_configuration_key(const std::string& key) const = 0;

    /// Zone that a key of the operator evacuates; empty for other keys.
    virtual std::string evacuated_zone(const std::string& key) const = 0;

    virtual std::variant<routing::routing_configuration, translation_error>
    read_configuration(const std::string& text) const = 0;

    virtual http_request write_item_read(const std::string& key) const = 0;

    /// `stale` allows an answer that is some seconds old, at a lower price.
    virtual http_request write_list(const std::string& prefix, const std::string& after_key,
                                    bool stale) const = 0;
    virtual http_request write_watch(const std::string& prefix, std::uint64_t after_revision,
                                     milliseconds wait) const = 0;
    virtual std::variant<store_items, translation_error>
    read_store_items(const http_response& response) const = 0;

    /// Puts one item. Without `expected_revision` there is no condition; 0: it must not exist.
    virtual http_request write_change(const std::string& key, const std::string& value,
                                      std::optional<std::uint64_t> expected_revision,
                                      std::uint64_t lease) const = 0;
    virtual store_change read_change(const http_response& response) const = 0;

    virtual http_request write_lease(milliseconds time_to_live) const = 0;

    /// Id of a new lease.
    virtual std::variant<std::uint64_t, translation_error>
    read_lease(const http_response& response) const = 0;
    virtual http_request write_lease_renewal(std::uint64_t lease) const = 0;
};

} // namespace azureladder::sidecar_runtime
