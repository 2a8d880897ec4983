#include <azureladder/deployment/cluster.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>

/// Runs the Glenbrae example as separate processes: requests of each service, a repeated order, a
/// moved key, a lost owner, a zone out of and back in service, graceful stops, and the audit.
namespace {

namespace http = azureladder::http;
using azureladder::json;
using azureladder::milliseconds;
using azureladder::seconds;
using azureladder::deployment::cluster;

constexpr const char* reporting_key = "franchise-oban";
constexpr int status_ok = 200;

/// Prints the result of each step and records whether any failed.
class step_printer
{
public:
    void print(const std::string& text, bool succeeded)
    {
        std::printf("%-8s %s\n", succeeded ? "ok" : "FAILED", text.c_str());
        std::fflush(stdout);
        m_all_succeeded = m_all_succeeded && succeeded;
    }

    bool all_succeeded() const { return m_all_succeeded; }

private:
    bool m_all_succeeded = true;
};

http::request make_request(const std::string& method, const std::string& target)
{
    http::request message;
    message.m_method = method;
    message.m_target = target;
    message.m_headers.push_back({"Azureladder-Customer", "oban"});
    message.m_headers.push_back({"Azureladder-Class", "interactive"});
    return message;
}

http::request make_report_request(const std::string& key)
{
    auto message = make_request("GET", "/reporting/summary");
    message.m_headers.push_back({"Azureladder-Key", key});
    return message;
}

/// "status 200 by reporting-1, executed yes", or the error.
std::string describe(const azureladder::result<http::response, http::client_error>& reply)
{
    if (!reply)
        return "no answer: " + reply.error().m_message;
    const auto& value = reply.value();
    const auto body = json::parse(value.m_body, nullptr, false);
    const auto* executed = http::find_header(value.m_headers, "Azureladder-Executed");
    std::string text = "status " + std::to_string(value.m_status);
    if (body.is_object() && body.contains("server"))
        text += " by " + body["server"].get<std::string>();
    if (body.is_object() && body.contains("error"))
        text += " " + body["error"].get<std::string>();
    return text + ", executed " + (executed == nullptr ? "?" : *executed);
}

bool answered(const azureladder::result<http::response, http::client_error>& reply)
{
    return reply && reply.value().m_status == status_ok;
}

std::string owner_of(cluster& demo_cluster, const std::string& entry, const std::string& key)
{
    const auto output = demo_cluster.command(entry, {"--json", "where", "reporting", key});
    const auto value = json::parse(output.m_output, nullptr, false);
    const bool known = value.is_object() && value.contains("owner") && value["owner"].is_string();
    return known ? value["owner"].get<std::string>() : std::string();
}

/// Whether the status of the entry node lists an announced backend server for each node.
bool all_announced(cluster& demo_cluster, const std::string& entry)
{
    const auto status = demo_cluster.status(entry);
    if (!status || !status->contains("plans") ||
        status->at("plans").size() != demo_cluster.nodes().size())
        return false;
    const auto& plans = status->at("plans");
    return std::none_of(plans.begin(), plans.end(),
                        [](const json& plan) { return plan.at("server") == ""; });
}

void show_requests(cluster& demo_cluster, const std::string& entry, step_printer& printer)
{
    for (const auto* service : {"catalogue", "pricing", "bookings"}) {
        const auto reply =
            demo_cluster.call(entry, make_request("GET", "/" + std::string(service) + "/x"));
        printer.print("GET " + std::string(service) + ": " + describe(reply), answered(reply));
    }
    for (const auto& node : demo_cluster.nodes()) {
        if (node.m_service != "reporting")
            continue;
        const auto reply = demo_cluster.call(node.m_node, make_report_request(reporting_key));
        printer.print("GET reporting key " + std::string(reporting_key) + " through " +
                          node.m_node + ": " + describe(reply),
                      answered(reply));
    }
}

void show_repeated_order(cluster& demo_cluster, const std::string& entry, const std::string& other,
                         step_printer& printer)
{
    auto order = make_request("POST", "/bookings/orders");
    order.m_headers.push_back({"Idempotency-Key", "order-4711"});
    order.m_body = "{\"element\": \"T-200\"}";
    const auto first = demo_cluster.call(entry, order);
    printer.print("POST bookings order-4711: " + describe(first), answered(first));
    const auto second = demo_cluster.call(other, order);
    const bool same =
        answered(first) && answered(second) && first.value().m_body == second.value().m_body;
    printer.print("the same order again through " + other + ": replayed, " + describe(second),
                  same);
}

void show_move(cluster& demo_cluster, const std::string& entry, step_printer& printer)
{
    const auto before = owner_of(demo_cluster, entry, reporting_key);
    json servers = json::array();
    for (const auto& node : demo_cluster.nodes()) {
        if (node.m_service == "reporting" && node.m_node != before)
            servers.push_back(node.m_server);
    }
    const json policy = {{{"kind", "key_policy"},
                          {"schema_version", 1},
                          {"name", "reporting-owners"},
                          {"service", "reporting"},
                          {"servers", servers}}};
    const auto applied = demo_cluster.apply(entry, policy);
    printer.print("key policy without " + before + ": apply exits with " +
                      std::to_string(applied.m_exit_code),
                  applied.m_exit_code == 0);
    std::string after;
    const bool moved = azureladder::deployment::wait_until(
        [&] {
            after = owner_of(demo_cluster, entry, reporting_key);
            return !after.empty() && after != before;
        },
        seconds(20));
    printer.print("key " + std::string(reporting_key) + " moved from " + before + " to " + after,
                  moved);
    const auto reply = demo_cluster.call(entry, make_report_request(reporting_key));
    printer.print("GET reporting after the move: " + describe(reply), answered(reply));
}

std::string show_lost_owner(cluster& demo_cluster, const std::string& entry, step_printer& printer)
{
    auto lost = owner_of(demo_cluster, entry, reporting_key);
    demo_cluster.router(lost).send_signal(SIGKILL);
    demo_cluster.backend(lost).send_signal(SIGKILL);
    const auto start = std::chrono::steady_clock::now();
    const bool served = azureladder::deployment::wait_until(
        [&] { return answered(demo_cluster.call(entry, make_report_request(reporting_key))); },
        seconds(10));
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
    printer.print("killed " + lost + "; its key is served again after " +
                      std::to_string(elapsed.count()) + " ms by " +
                      owner_of(demo_cluster, entry, reporting_key),
                  served);
    return lost;
}

void show_zone(cluster& demo_cluster, const std::string& entry, const std::string& zone,
               step_printer& printer)
{
    const auto out = demo_cluster.command(entry, {"zone", "out", zone});
    printer.print("zone out " + zone + " exits with " + std::to_string(out.m_exit_code),
                  out.m_exit_code == 0);
    std::string served_by;
    bool outside = true;
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) {
        const auto reply = demo_cluster.call(entry, make_request("GET", "/catalogue/x"));
        outside = outside && answered(reply);
        served_by = describe(reply);
    }
    printer.print("20 catalogue requests meanwhile, the last: " + served_by, outside);
    const auto back = demo_cluster.command(entry, {"zone", "in", zone});
    printer.print("zone in " + zone + " exits with " + std::to_string(back.m_exit_code),
                  back.m_exit_code == 0);
}

void stop_all(cluster& demo_cluster, const std::string& lost, step_printer& printer)
{
    for (const auto& node : demo_cluster.nodes()) {
        if (node.m_node == lost)
            continue;
        demo_cluster.router(node.m_node).send_signal(SIGTERM);
        const int code = demo_cluster.router(node.m_node).wait();
        printer.print("stopped " + node.m_node + " with exit code " + std::to_string(code),
                      code == 0);
        demo_cluster.backend(node.m_node).send_signal(SIGTERM);
        demo_cluster.backend(node.m_node).wait();
    }
}

int run_demo(const std::string& binaries, const std::string& examples, const std::string& directory)
{
    azureladder::deployment::cluster_options options;
    options.m_binaries = binaries;
    options.m_directory = directory;
    options.m_nodes = azureladder::deployment::load_nodes(examples + "/glenbrae/nodes.json");
    cluster demo_cluster(options);
    step_printer printer;
    printer.print("started " + std::to_string(options.m_nodes.size()) +
                      " routers with their backend servers, and a platform store",
                  demo_cluster.start());
    const auto entry = options.m_nodes.front().m_node;
    const auto applied = demo_cluster.apply(
        entry, azureladder::deployment::load_records(examples + "/glenbrae/records.json"));
    printer.print("apply examples/glenbrae/records.json exits with " +
                      std::to_string(applied.m_exit_code) + "\n" + applied.m_output,
                  applied.m_exit_code == 0);
    const bool owned = azureladder::deployment::wait_until(
        [&] { return answered(demo_cluster.call(entry, make_report_request(reporting_key))); },
        seconds(20));
    printer.print("the slice of key " + std::string(reporting_key) + " has an owner", owned);
    const bool announced = azureladder::deployment::wait_until(
        [&] { return all_announced(demo_cluster, entry); }, seconds(20));
    printer.print("all backend servers have announced themselves", announced);

    show_requests(demo_cluster, entry, printer);
    show_repeated_order(demo_cluster, entry, options.m_nodes.back().m_node, printer);
    show_move(demo_cluster, entry, printer);
    const auto lost = show_lost_owner(demo_cluster, entry, printer);
    show_zone(demo_cluster, entry, options.m_nodes.back().m_zone, printer);
    std::cout << demo_cluster.command(entry, {"status"}).m_output;
    stop_all(demo_cluster, lost, printer);

    std::vector<std::string> audit = {"audit"};
    for (const auto& file : demo_cluster.log_files())
        audit.push_back(file);
    const auto audit_result = demo_cluster.command(entry, audit);
    std::cout << audit_result.m_output;
    printer.print("audit of all logs exits with " + std::to_string(audit_result.m_exit_code),
                  audit_result.m_exit_code == 0);
    return printer.all_succeeded() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::string binaries;
    std::string examples;
    std::string directory;
    po::options_description description("azureladder-demo");
    description.add_options()("help", "print this text")(
        "binaries", po::value(&binaries)->default_value("build/bin"), "directory of the programs")(
        "examples", po::value(&examples)->default_value("examples"), "directory of the examples")(
        "directory", po::value(&directory)->default_value("out/demo"), "directory for logs");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "azureladder-demo: " << error.what() << "\n" << description;
        return 2;
    }
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    return run_demo(binaries, examples, directory);
}
