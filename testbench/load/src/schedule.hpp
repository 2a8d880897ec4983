#pragma once

#include "key_chooser.hpp"
#include "load_settings.hpp"

#include <azureladder/testbench/random_source.hpp>

#include <optional>
#include <string>
#include <vector>

namespace azureladder::load {

/// A request of the schedule.
struct planned_call
{
    /// Time of arrival after the start.
    duration m_arrival{0};
    std::size_t m_service = 0;
    std::size_t m_method = 0;
    std::string m_key;
    std::string m_class;
    std::string m_customer;

    /// Index of the target that is tried first.
    std::uint32_t m_target = 0;
};

/// Arrivals of all services in chronological order. Each service has its own random sequence, so
/// that changing one service does not affect the others.
class schedule
{
public:
    explicit schedule(const load_settings& settings);

    /// Next arrival; none after the duration or the number of requests in the settings.
    std::optional<planned_call> next();

private:
    struct service_state
    {
        key_chooser m_keys;
        random_source m_random;
        double m_next_us = 0;
    };

    void advance(std::size_t service);
    planned_call plan(std::size_t service);

    const load_settings& m_settings;
    std::vector<service_state> m_services;
    std::uint64_t m_planned = 0;
};

} // namespace azureladder::load
