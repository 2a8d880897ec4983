#pragma once

#include "load_settings.hpp"

#include <azureladder/testbench/random_source.hpp>

#include <string>
#include <vector>

namespace azureladder::load {

using testbench::random_source;

/// Chooses the keys of one service.
class key_chooser
{
public:
    explicit key_chooser(const key_settings& settings);

    /// Key of a request that arrives `since_start` after the start; empty when the service has no
    /// keys.
    std::string choose(random_source& random, duration since_start) const;

private:
    std::uint32_t choose_index(random_source& random, duration since_start) const;

    key_settings m_settings;

    /// Cumulative probabilities of the Zipf distribution; empty for the others.
    std::vector<double> m_cumulative;
};

} // namespace azureladder::load
