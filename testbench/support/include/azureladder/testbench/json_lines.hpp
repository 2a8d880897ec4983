#pragma once

#include <azureladder/base/json.hpp>

#include <fstream>
#include <mutex>
#include <string>

/// Shared parts of the test doubles.
namespace azureladder::testbench {

/// Appends JSON objects to a file, one per line. Thread safe.
class json_lines
{
public:
    /// An empty `path` writes nothing.
    explicit json_lines(const std::string& path);

    /// False when the file cannot be written.
    bool is_open() const;

    /// Writes and flushes `line`, so that it is not lost when the process is killed.
    void write(const json& line);

private:
    bool m_enabled;
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// `line` with the current `time_us` (wall clock) and `mono_us` (comparable between processes of
/// one machine).
json with_times(json line);

} // namespace azureladder::testbench
