#include <azureladder/deployment/cluster.hpp>

#include <azureladder/base/precondition.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace azureladder::deployment {

namespace {

constexpr milliseconds poll_interval{10};
constexpr milliseconds control_timeout{2'000};

// Below the kernel's range of ephemeral ports (32768 to 60999): an outgoing connection could take a
// port of that range between its selection and the start of the process.
constexpr std::uint16_t first_listen_port = 10'000;
constexpr std::uint16_t last_listen_port = 29'999;

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

void write_file(const std::string& path, const std::string& content)
{
    std::ofstream file(path);
    file << content;
}

json parse_file(const std::string& path)
{
    auto value = json::parse(read_file(path), nullptr, false, true);
    AZURELADDER_PRECONDITION(!value.is_discarded(), path.c_str());
    return value;
}

void use_link_addresses(const fault_links& links, const std::string& node,
                        const std::vector<node_spec>& nodes, json& settings)
{
    settings["store"]["address"] = to_string(links.store_address(node));
    for (const auto& other : nodes) {
        if (other.m_node != node)
            settings["peer"]["routes"][other.m_node] =
                to_string(links.peer_address(node, other.m_node));
    }
}

bool accepts_connections(const endpoint& address)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({boost::asio::ip::make_address(address.m_host), address.m_port}, error);
    return !error;
}

} // namespace

struct cluster::member
{
    node_spec m_spec;
    endpoint m_http;
    endpoint m_peer;
    endpoint m_backend_address;
    std::string m_prefix;
    std::unique_ptr<process> m_router;
    std::unique_ptr<process> m_backend;
};

cluster::cluster(cluster_options options)
    : m_options(std::move(options)), m_store_address(free_endpoint())
{
    std::filesystem::create_directories(m_options.m_directory);
    for (const auto& spec : m_options.m_nodes) {
        auto added = std::make_unique<member>();
        added->m_spec = spec;
        added->m_http = free_endpoint();
        added->m_peer = free_endpoint();
        added->m_backend_address = free_endpoint();
        added->m_prefix = m_options.m_directory + "/" + spec.m_node;
        m_members[spec.m_node] = std::move(added);
    }
}

cluster::~cluster() = default;

cluster::member& cluster::find(const std::string& node)
{
    const auto found = m_members.find(node);
    AZURELADDER_PRECONDITION(found != m_members.end(), "the node must be part of the cluster");
    return *found->second;
}

const cluster::member& cluster::find(const std::string& node) const
{
    return const_cast<cluster*>(this)->find(node);
}

bool cluster::start(seconds limit)
{
    m_store =
        std::make_unique<process>(m_options.m_binaries + "/azureladder-store-double",
                                  std::vector<std::string>{"--listen", to_string(m_store_address)},
                                  m_options.m_directory + "/store.out");
    if (!wait_until([&] { return accepts_connections(m_store_address); }, limit))
        return false;
    if (m_options.m_fault_links && !start_links(limit))
        return false;
    for (const auto& entry : m_members) {
        start_router(entry.first);
        start_backend(entry.first);
    }
    return wait_until(
        [&] {
            for (const auto& entry : m_members) {
                if (!ready(entry.first))
                    return false;
            }
            return true;
        },
        limit);
}

bool cluster::start_links(milliseconds limit)
{
    for (const auto& [node, value] : m_members) {
        m_links.add_store_link(node, m_store_address);
        for (const auto& [other, target] : m_members) {
            if (other != node)
                m_links.add_peer_link(node, other, target->m_peer);
        }
    }
    return m_links.start(m_options.m_binaries, m_options.m_directory, limit);
}

void cluster::write_settings(const member& target) const
{
    json settings = m_options.m_settings;
    settings["node"] = target.m_spec.m_node;
    settings["availability_zone"] = target.m_spec.m_zone;
    settings["http"]["listen"] = to_string(target.m_http);
    settings["peer"]["listen"] = to_string(target.m_peer);
    settings["store"]["address"] = to_string(m_store_address);
    if (m_options.m_fault_links)
        use_link_addresses(m_links, target.m_spec.m_node, m_options.m_nodes, settings);
    settings["log"]["file"] = target.m_prefix + ".log";
    write_file(target.m_prefix + ".json", settings.dump(2));
}

void cluster::start_router(const std::string& node)
{
    auto& target = find(node);
    write_settings(target);
    target.m_router =
        std::make_unique<process>(m_options.m_binaries + "/azureladderd",
                                  std::vector<std::string>{"--settings", target.m_prefix + ".json"},
                                  target.m_prefix + ".out");
}

void cluster::start_backend(const std::string& node)
{
    auto& target = find(node);
    const auto& spec = target.m_spec;
    target.m_backend =
        std::make_unique<process>(m_options.m_binaries + "/azureladder-backend-double",
                                  std::vector<std::string>{"--listen",
                                                           to_string(target.m_backend_address),
                                                           "--server",
                                                           spec.m_server,
                                                           "--service",
                                                           spec.m_service,
                                                           "--zone",
                                                           spec.m_zone,
                                                           "--slots",
                                                           std::to_string(spec.m_slots),
                                                           "--connections",
                                                           std::to_string(spec.m_connections),
                                                           "--announce",
                                                           to_string(target.m_http),
                                                           "--fencing",
                                                           spec.m_fencing,
                                                           "--service-time-ms",
                                                           std::to_string(spec.m_service_time_ms),
                                                           "--cold-ms",
                                                           std::to_string(spec.m_cold_ms),
                                                           "--cold-slots",
                                                           std::to_string(spec.m_cold_slots),
                                                           "--execution-log",
                                                           target.m_prefix + ".executions"},
                                  target.m_prefix + ".backend.out");
}

process& cluster::router(const std::string& node)
{
    AZURELADDER_PRECONDITION(find(node).m_router, "the router must have been started");
    return *find(node).m_router;
}

process& cluster::backend(const std::string& node)
{
    AZURELADDER_PRECONDITION(find(node).m_backend, "the backend server must have been started");
    return *find(node).m_backend;
}

process& cluster::store()
{
    AZURELADDER_PRECONDITION(m_store, "the store must have been started");
    return *m_store;
}

const endpoint& cluster::http_address(const std::string& node) const
{
    return find(node).m_http;
}

const endpoint& cluster::backend_address(const std::string& node) const
{
    return find(node).m_backend_address;
}

result<http::response, http::client_error>
cluster::call(const std::string& node, const http::request& message, milliseconds timeout)
{
    http::client client(find(node).m_http);
    http::execute_options options;
    options.m_timeout = timeout;
    options.m_connection = http::connection_use::fresh;
    return client.execute(message, options);
}

std::optional<json> cluster::status(const std::string& node)
{
    http::request message;
    message.m_target = "/_azureladder/v1/status";
    const auto reply = call(node, message, control_timeout);
    if (!reply)
        return std::nullopt;
    auto value = json::parse(reply.value().m_body, nullptr, false);
    if (value.is_discarded())
        return std::nullopt;
    return value;
}

bool cluster::ready(const std::string& node)
{
    http::request message;
    message.m_target = "/_azureladder/v1/ready";
    const auto reply = call(node, message, control_timeout);
    constexpr int status_ok = 200;
    return reply && reply.value().m_status == status_ok;
}

command_result cluster::command(const std::string& node, const std::vector<std::string>& arguments)
{
    const auto output = m_options.m_directory + "/command-" + std::to_string(++m_commands) + ".out";
    std::vector<std::string> all = {"--node", to_string(find(node).m_http)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    process run(m_options.m_binaries + "/azureladder", all, output);
    command_result finished;
    finished.m_exit_code = run.wait();
    finished.m_output = read_file(output);
    return finished;
}

command_result cluster::apply(const std::string& node, const json& records)
{
    const auto file =
        m_options.m_directory + "/records-" + std::to_string(m_commands + 1) + ".json";
    write_file(file, records.dump(2));
    return command(node, {"apply", file});
}

bool cluster::post(const endpoint& address, const std::string& target, const json& body)
{
    http::client client(address);
    http::request message;
    message.m_method = "POST";
    message.m_target = target;
    message.m_body = body.dump();
    http::execute_options options;
    options.m_timeout = control_timeout;
    const auto reply = client.execute(message, options);
    constexpr int first_error_status = 300;
    return reply && reply.value().m_status < first_error_status;
}

bool cluster::control_store(const json& faults)
{
    return post(m_store_address, "/control", faults);
}

bool cluster::control_backend(const std::string& node, const json& faults)
{
    return post(find(node).m_backend_address, "/control/double", faults);
}

std::vector<std::string> cluster::log_files() const
{
    std::vector<std::string> files;
    for (const auto& entry : m_members) {
        for (const auto* suffix : {".log", ".executions"}) {
            const auto path = entry.second->m_prefix + suffix;
            if (std::filesystem::exists(path))
                files.push_back(path);
        }
    }
    return files;
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

endpoint free_endpoint()
{
    using boost::asio::ip::tcp;
    using boost::asio::ip::udp;
    static std::mt19937 random(std::random_device{}());
    // A port is not bound until its process starts, so it must not be allocated twice.
    static std::set<std::uint16_t> used;
    std::uniform_int_distribution<std::uint16_t> ports(first_listen_port, last_listen_port);
    const auto loopback = boost::asio::ip::address_v4::loopback();
    boost::asio::io_context context;
    while (true) {
        const auto port = ports(random);
        boost::system::error_code error;
        tcp::socket stream(context, tcp::v4());
        stream.bind(tcp::endpoint(loopback, port), error);
        udp::socket datagrams(context, udp::v4());
        if (!error)
            datagrams.bind(udp::endpoint(loopback, port), error);
        if (!error && used.insert(port).second)
            return {"127.0.0.1", port};
    }
}

std::vector<node_spec> load_nodes(const std::string& path)
{
    const auto table = parse_file(path);
    std::vector<node_spec> nodes;
    for (const auto& row : table.at("nodes")) {
        node_spec spec;
        spec.m_node = row.at("node");
        spec.m_zone = row.at("zone");
        spec.m_service = row.at("service");
        spec.m_server = row.at("server");
        spec.m_slots = row.at("slots");
        spec.m_connections = row.at("connections");
        spec.m_fencing = row.at("fencing");
        nodes.push_back(std::move(spec));
    }
    return nodes;
}

json load_records(const std::string& path)
{
    return parse_file(path);
}

} // namespace azureladder::deployment
