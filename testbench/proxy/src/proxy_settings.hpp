#pragma once

#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/json.hpp>
#include <azureladder/base/result.hpp>
#include <azureladder/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Relays TCP and UDP between loopback addresses with faults that change while it runs.
namespace azureladder::proxy {

/// Protocols of a link; `both` uses the same port number for TCP and UDP.
enum class link_protocol
{
    tcp,
    udp,
    both
};

inline constexpr enum_name<link_protocol> link_protocol_names[] = {
    {link_protocol::tcp, "tcp"},
    {link_protocol::udp, "udp"},
    {link_protocol::both, "both"},
};

/// Faults of one direction of a link.
struct fault_settings
{
    /// TCP data waits until the fault is cleared, as with retransmission; datagrams are dropped.
    bool m_cut = false;

    /// Half-open link: data of this direction is accepted and discarded.
    bool m_swallow = false;
    duration m_delay{0};

    /// Each unit is delayed by a further random time of at most this.
    duration m_jitter{0};

    /// Share of datagrams that are dropped, and of TCP segments that are delayed by
    /// `tcp_retransmission_delay`.
    double m_drop = 0;

    /// Share of datagrams that are delayed by `reorder_delay`, so that later ones overtake them.
    double m_reorder = 0;

    /// Bytes per second; zero means no limit.
    std::uint64_t m_bandwidth = 0;
};

inline constexpr duration tcp_retransmission_delay = milliseconds(200);
inline constexpr duration reorder_delay = milliseconds(5);

struct link_settings
{
    std::string m_name;
    link_protocol m_protocol = link_protocol::tcp;
    endpoint m_listen;
    endpoint m_target;

    /// From the client to the target, and back.
    fault_settings m_forward;
    fault_settings m_backward;

    /// Connections are refused and existing ones reset; datagrams are dropped.
    bool m_refuse = false;
};

struct proxy_settings
{
    endpoint m_control{"127.0.0.1", 0};
    std::uint64_t m_seed = 1;

    /// Bytes that wait in one direction of a TCP connection or of a UDP link.
    std::size_t m_max_queue_bytes = std::size_t(256) * 1024;

    /// TCP connections and UDP clients of one link.
    std::uint32_t m_max_sessions = 1024;
    std::vector<link_settings> m_links;
};

/// Field that cannot be used and what was expected.
using settings_error = std::string;

result<proxy_settings, settings_error> parse_settings(const json& document);

/// Link from "[udp:|tcp:|both:]LISTEN=TARGET".
result<link_settings, settings_error> parse_link(const std::string& text, const std::string& name);

/// Changes the given fields and leaves the others as they are. On an error nothing is changed.
result<void, settings_error> change_faults(const json& fields, fault_settings& into);

json to_json(const fault_settings& faults);

} // namespace azureladder::proxy
