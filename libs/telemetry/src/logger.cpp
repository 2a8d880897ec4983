#include <azureladder/telemetry/logger.hpp>

#include <azureladder/base/precondition.hpp>

#include <easylogging++.h>

#include <fstream>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace azureladder::telemetry {

namespace {

/// Each logger needs an id of its own, because easylogging++ keeps them in one registry.
std::string next_logger_id()
{
    static std::atomic<unsigned> last{0};
    return "azureladder-" + std::to_string(++last);
}

bool can_append(const std::string& path)
{
    return path.empty() || std::ofstream(path, std::ios::app).is_open();
}

el::Configurations make_configuration(const std::string& path)
{
    el::Configurations result;
    result.setToDefault();
    result.setGlobally(el::ConfigurationType::Format, "%msg");
    result.setGlobally(el::ConfigurationType::ToFile, path.empty() ? "false" : "true");
    result.setGlobally(el::ConfigurationType::ToStandardOutput, path.empty() ? "true" : "false");
    if (!path.empty())
        result.setGlobally(el::ConfigurationType::Filename, path);
    return result;
}

} // namespace

/// Logger of easylogging++ that writes messages unchanged.
class logger::sink
{
public:
    explicit sink(const std::string& path) : m_id(next_logger_id())
    {
        if (!can_append(path))
            return;
        el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
        m_logger = el::Loggers::getLogger(m_id);
        m_logger->configure(make_configuration(path));
    }

    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;

    ~sink()
    {
        if (m_logger != nullptr)
            el::Loggers::unregisterLogger(m_id);
    }

    bool is_open() const { return m_logger != nullptr; }

    void write(const std::string& line)
    {
        if (m_logger != nullptr)
            m_logger->info(line);
    }

private:
    std::string m_id;
    el::Logger* m_logger = nullptr;
};

logger::logger(const clock& time, logger_options options)
    : m_clock(time), m_options(std::move(options)), m_incarnation(m_options.m_incarnation),
      m_sink(std::make_unique<sink>(m_options.m_path))
{
}

logger::~logger() = default;

bool logger::is_open() const
{
    return m_sink->is_open();
}

void logger::set_incarnation(incarnation_id incarnation)
{
    m_incarnation = incarnation;
}

void logger::write(log_level level, std::string_view event, const json& fields)
{
    AZURELADDER_PRECONDITION(fields.is_object() || fields.is_null(),
                             "the fields of a log line must be an object");
    if (is_enabled(level))
        m_sink->write(format(level, event, fields));
}

std::string logger::format(log_level level, std::string_view event, const json& fields) const
{
    json line = {
        {"time_us", m_clock.wall_time_us()}, {"mono_us", to_us(m_clock.now())},
        {"node", m_options.m_node},          {"incarnation", m_incarnation.load()},
        {"level", to_string(level)},         {"event", event},
    };
    for (const auto& [name, value] : fields.items())
        line[line.contains(name) ? "field_" + name : name] = value;
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace azureladder::telemetry
