#pragma once

#include "node_client.hpp"

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/time.hpp>

#include <functional>
#include <memory>
#include <ostream>
#include <string>

namespace azureladder::cli {

/// What the commands need from outside. Tests replace all of it.
struct environment
{
    /// Results.
    std::ostream& m_out;

    /// Progress and errors.
    std::ostream& m_error;

    std::function<std::unique_ptr<node_client>(const endpoint& node, duration timeout)> m_connect;
    std::function<time_point()> m_now;
    std::function<void(duration)> m_sleep;

    /// Random id of a change.
    std::function<std::string()> m_make_apply_id;
};

} // namespace azureladder::cli
