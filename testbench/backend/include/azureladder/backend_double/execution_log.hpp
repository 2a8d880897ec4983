#pragma once

#include <azureladder/base/json.hpp>
#include <azureladder/testbench/json_lines.hpp>

#include <deque>
#include <mutex>

namespace azureladder::backend_double {

/// Records executions and refusals in a file and in memory. Thread safe.
class execution_log
{
public:
    explicit execution_log(testbench::json_lines& file) : m_file(file) {}

    /// Appends a record that already has its timestamps.
    void append(const json& record);

    /// The newest records, oldest first.
    json records() const;

private:
    testbench::json_lines& m_file;
    mutable std::mutex m_mutex;
    std::deque<json> m_records;
};

} // namespace azureladder::backend_double
