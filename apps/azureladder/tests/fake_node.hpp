#pragma once

#include "command.hpp"

#include <azureladder/base/json.hpp>

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace azureladder::cli {

/// Fake node with scripted responses by "METHOD target". The last response of a list is repeated;
/// calls without a response fail with a refused connection.
struct fake_node
{
    using call_result = result<node_response, client_error>;

    std::map<std::string, std::deque<call_result>> m_responses;

    /// Received calls as "METHOD target", with their bodies.
    std::vector<std::pair<std::string, std::string>> m_calls;
    std::vector<std::string> m_connected;

    void on(const std::string& call, int status, const json& body)
    {
        m_responses[call].push_back(node_response{status, body.dump()});
    }

    void lose_response(const std::string& call)
    {
        m_responses[call].push_back(client_error{false, "lost"});
    }

    std::size_t calls_of(const std::string& call) const
    {
        std::size_t count = 0;
        for (const auto& item : m_calls)
            count += item.first == call ? 1 : 0;
        return count;
    }
};

class fake_node_client : public node_client
{
public:
    explicit fake_node_client(fake_node& node) : m_node(node) {}

    result<node_response, client_error> call(const std::string& method, const std::string& target,
                                             const std::string& body) override
    {
        const std::string call = method + " " + target;
        m_node.m_calls.emplace_back(call, body);
        const auto found = m_node.m_responses.find(call);
        if (found == m_node.m_responses.end())
            return client_error{true, "connection refused"};
        auto call_result = found->second.front();
        if (found->second.size() > 1)
            found->second.pop_front();
        return call_result;
    }

private:
    fake_node& m_node;
};

/// Runs commands with a fake node and a clock that only sleeping advances.
struct cli_harness
{
    fake_node m_node;
    std::ostringstream m_out;
    std::ostringstream m_error;
    time_point m_time{};

    exit_code operator()(const std::vector<std::string>& arguments,
                         const std::vector<command>& commands)
    {
        m_out.str("");
        m_error.str("");
        environment env{m_out,
                        m_error,
                        [&](const endpoint& node, duration timeout) {
                            m_node.m_connected.push_back(to_string(node) + " " +
                                                         std::to_string(to_ms(timeout)));
                            return std::make_unique<fake_node_client>(m_node);
                        },
                        [&] { return m_time; },
                        [&](duration delay) { m_time += delay; },
                        [] { return std::string("id-1"); }};
        return run(arguments, commands, env);
    }

    exit_code operator()(const std::vector<std::string>& arguments)
    {
        auto commands = change_commands();
        for (const auto& more : {record_commands(), status_commands()})
            commands.insert(commands.end(), more.begin(), more.end());
        return (*this)(arguments, commands);
    }

    std::string out() const { return m_out.str(); }
    std::string error() const { return m_error.str(); }
};

/// Temporary file with the content `text`, removed by the destructor.
class temporary_file
{
public:
    explicit temporary_file(const std::string& text);
    ~temporary_file();
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace azureladder::cli
