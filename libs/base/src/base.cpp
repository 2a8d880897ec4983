#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/hash.hpp>
#include <azureladder/base/precondition.hpp>
#include <azureladder/base/steady_clock.hpp>

#include <boost/asio/ip/address.hpp>

#include <xxhash.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace azureladder {

namespace {

std::int64_t read_clock_us(clockid_t id)
{
    constexpr std::int64_t us_per_second = 1'000'000;
    constexpr std::int64_t ns_per_us = 1'000;
    timespec value{};
    AZURELADDER_PRECONDITION(clock_gettime(id, &value) == 0, "the system clock must be readable");
    return std::int64_t(value.tv_sec) * us_per_second + value.tv_nsec / ns_per_us;
}

} // namespace

void precondition_failed(const char* message, const char* file, int line)
{
    std::fprintf(stderr, "%s:%d: precondition failed: %s\n", file, line, message);
    std::abort();
}

time_point steady_clock::now() const
{
    return time_point(duration(read_clock_us(CLOCK_BOOTTIME)));
}

std::int64_t steady_clock::wall_time_us() const
{
    return read_clock_us(CLOCK_REALTIME);
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::uint32_t slice_of_key(std::string_view key, std::uint32_t slices)
{
    AZURELADDER_PRECONDITION(slices > 0, "a slice space must have at least one slice");
    return std::uint32_t(hash64(key) % slices);
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != port_text.data() + port_text.size())
        return std::nullopt;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(host), error);
    if (error || address.is_v6() != bracketed)
        return std::nullopt;
    return endpoint{std::string(host), port};
}

std::string to_string(const endpoint& address)
{
    const bool is_v6 = address.m_host.find(':') != std::string::npos;
    const auto host = is_v6 ? "[" + address.m_host + "]" : address.m_host;
    return host + ":" + std::to_string(address.m_port);
}

} // namespace azureladder
