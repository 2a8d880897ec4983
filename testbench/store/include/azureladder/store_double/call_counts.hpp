#pragma once

#include <azureladder/base/json.hpp>

#include <map>
#include <mutex>
#include <string>

namespace azureladder::store_double {

/// Counts calls by kind and answers by kind and status. A waiting read counts once. Thread safe.
class call_counts
{
public:
    void count(const std::string& name);

    /// `{"<name>": n, ...}`
    json to_json() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace azureladder::store_double
