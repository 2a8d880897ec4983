#pragma once

#include <azureladder/audit/history.hpp>
#include <azureladder/base/result.hpp>

#include <fstream>
#include <istream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureladder::audit {

/// Error of a log that cannot be read.
struct log_error
{
    std::string m_file;

    /// Line at which reading failed; zero when the file could not be opened.
    std::uint64_t m_line = 0;
    std::string m_message;
};

std::string to_string(const log_error& error);

/// Reads one log line by line, without holding its text in memory.
class log_reader
{
public:
    /// Longest line that is parsed; longer lines count as malformed.
    static constexpr std::size_t max_line_bytes = std::size_t(1) << 20;

    static result<log_reader, log_error> open(const std::string& path);

    /// Reads from a stream; `name` is used in messages.
    log_reader(std::unique_ptr<std::istream> input, std::string name);

    /// Appends the next known event to `into`, and counts malformed and unknown lines before it
    /// there. Returns false at the end of the log.
    bool next(history& into);

    /// Error when reading failed before the end of the log.
    std::optional<log_error> failure() const;

private:
    std::unique_ptr<std::istream> m_input;
    std::string m_name;
    std::uint64_t m_line = 0;
    std::optional<std::uint32_t> m_file_index;
};

/// Reads all logs and merges them by time.
result<history, log_error> read_logs(const std::vector<std::string>& paths);

} // namespace azureladder::audit
