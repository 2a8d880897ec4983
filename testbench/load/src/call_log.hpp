#pragma once

#include "call.hpp"

#include <azureladder/base/clock.hpp>

#include <fstream>
#include <string>

namespace azureladder::load {

/// Writes the caller's history as JSON lines for the audit. Without a path nothing is written.
class call_log
{
public:
    call_log(const load_settings& settings, const clock& time, const std::string& path);

    /// Whether all lines so far could be written.
    bool is_good() const { return m_path.empty() || m_output.good(); }

    void started(const call& issued);
    void finished(const call& issued, const call_outcome& outcome);
    void flush() { m_output.flush(); }

private:
    json line(const char* event, const call& issued) const;

    const load_settings& m_settings;
    const clock& m_clock;
    std::string m_path;
    std::ofstream m_output;
};

} // namespace azureladder::load
