#include <azureladder/testbench/json_http.hpp>
#include <azureladder/testbench/json_lines.hpp>
#include <azureladder/testbench/termination.hpp>

#include <azureladder/base/steady_clock.hpp>

#include <charconv>
#include <csignal>

namespace azureladder::testbench {

namespace {

sigset_t termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

json_lines::json_lines(const std::string& path) : m_enabled(!path.empty())
{
    if (m_enabled)
        m_file.open(path, std::ios::app);
}

bool json_lines::is_open() const
{
    return !m_enabled || m_file.is_open();
}

void json_lines::write(const json& line)
{
    if (!m_enabled)
        return;
    const auto text = line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    const std::lock_guard lock(m_mutex);
    m_file << text << std::flush;
}

json with_times(json line)
{
    const steady_clock clock;
    line["time_us"] = clock.wall_time_us();
    line["mono_us"] = to_us(clock.now());
    return line;
}

http::response json_response(int status, const json& body)
{
    return {status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

std::optional<json> json_object_in(const http::request& message)
{
    auto body = json::parse(message.m_body, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    return body;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string_view> query_value(std::string_view target, std::string_view name)
{
    const auto query_at = target.find('?');
    auto rest =
        query_at == std::string_view::npos ? std::string_view() : target.substr(query_at + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
            return part.substr(equals + 1);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

void block_termination_signals()
{
    const auto signals = termination_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_termination()
{
    const auto signals = termination_signals();
    int received = 0;
    ::sigwait(&signals, &received);
}

} // namespace azureladder::testbench
