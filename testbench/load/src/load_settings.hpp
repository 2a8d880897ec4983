#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Open-loop load generator for the tests and experiments.
namespace azureladder::load {

/// How the keys of a service are chosen.
enum class key_distribution
{
    uniform,
    zipf,

    /// A share of the requests goes to a small set of keys that changes periodically.
    hot
};

inline constexpr enum_name<key_distribution> key_distribution_names[] = {
    {key_distribution::uniform, "uniform"},
    {key_distribution::zipf, "zipf"},
    {key_distribution::hot, "hot"},
};

enum class arrival_process
{
    poisson,
    fixed
};

inline constexpr enum_name<arrival_process> arrival_process_names[] = {
    {arrival_process::poisson, "poisson"},
    {arrival_process::fixed, "fixed"},
};

struct key_settings
{
    key_distribution m_distribution = key_distribution::uniform;

    /// Number of different keys. Zero: requests carry no key.
    std::uint32_t m_count = 1000;
    std::string m_prefix = "k";
    double m_zipf_exponent = 1.1;
    std::uint32_t m_hot_count = 35;
    double m_hot_share = 0.5;

    /// Time after which another set of keys is hot.
    duration m_hot_move = seconds(10);
};

/// A choice with its relative frequency.
struct weighted_name
{
    std::string m_name;
    double m_weight = 1;
};

struct method_settings
{
    std::string m_method = "GET";
    double m_weight = 1;

    /// The request carries an Idempotency-Key.
    bool m_has_idempotency_key = false;

    /// Repeats with the same key when the outcome is unknown to the caller.
    std::uint32_t m_repeats = 0;
};

struct service_settings
{
    std::string m_name;

    /// Requests per second.
    double m_rate = 10;
    std::string m_path = "/load";
    key_settings m_keys;
    std::vector<method_settings> m_methods{method_settings{}};
    std::vector<weighted_name> m_classes{{"standard", 1}};
    std::vector<weighted_name> m_customers;
    std::uint32_t m_body_bytes = 64;

    /// Sent as Request-Timeout-Ms; the caller stops waiting `timeout_grace` later.
    duration m_timeout = seconds(2);
};

struct load_settings
{
    std::uint64_t m_seed = 1;
    duration m_duration = seconds(10);
    std::uint64_t m_max_requests = 1'000'000;
    arrival_process m_arrivals = arrival_process::poisson;

    /// Prefix of request ids and idempotency keys; must differ between runs whose logs are merged.
    std::string m_id_prefix = "load";
    std::vector<endpoint> m_targets;

    /// Connections to each target.
    std::uint32_t m_connections = 64;

    /// Calls that may wait for a connection to each target.
    std::uint32_t m_max_waiting = 10'000;

    /// Targets that are tried when a connection is refused.
    std::uint32_t m_connect_attempts = 2;
    duration m_repeat_delay = milliseconds(200);

    /// Limit of the 99th percentile of the lag; above it the report has `schedule_kept` false.
    duration m_max_lag = milliseconds(5);
    std::vector<service_settings> m_services;
};

/// Invalid field and the value that was expected.
struct settings_error
{
    std::string m_field;
    std::string m_expected;
};

std::string to_string(const settings_error& error);

/// Reads and checks all settings; README.md lists the fields.
result<load_settings, settings_error> parse_settings(const json& document);

} // namespace azureladder::load
