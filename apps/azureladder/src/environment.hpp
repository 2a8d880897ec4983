#pragma once

#include "node_client.hpp"

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>

#include <functional>
#include <memory>
#include <ostream>
#include <string>

namespace azureladder::cli {

/// External dependencies of the commands, which tests replace.
struct environment
{
    /// Output stream of results.
    std::ostream& m_out;

    /// Output stream of progress and errors.
    std::ostream& m_error;

    std::function<std::unique_ptr<node_client>(const endpoint& node, duration timeout)> m_connect;
    std::function<time_point()> m_now;
    std::function<void(duration)> m_sleep;

    /// Returns a random apply id.
    std::function<std::string()> m_make_apply_id;
};

} // namespace azureladder::cli
