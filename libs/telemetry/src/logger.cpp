#include <azureladder/telemetry/logger.hpp>

#include <azureladder/base/precondition.hpp>

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace azureladder::telemetry {

namespace {

/// Returns a unique logger id, because easylogging++ keeps all loggers in one registry.
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

constexpr std::array<std::string_view, 6> standard_fields = {"time_us",     "mono_us", "node",
                                                             "incarnation", "level",   "event"};

/// Initial capacity of the buffer of a line. Most lines are shorter.
constexpr std::size_t initial_line_capacity = 320;

/// Whether the text needs no escaping in a JSON string.
bool needs_no_escaping(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        return character >= ' ' && character <= '~' && character != '"' && character != '\\';
    });
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void append_text(std::string& line, std::string_view text)
{
    if (needs_no_escaping(text))
        line.append(1, '"').append(text).append(1, '"');
    else
        line += dump(json(text));
}

template <class Integer>
void append_integer(std::string& line, Integer value)
{
    std::array<char, 24> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    line.append(digits.data(), written.ptr);
}

/// Writes strings and integers directly, because the serializer of nlohmann-json allocates memory
/// for each value.
void append_value(std::string& line, const json& value)
{
    if (const auto* text = value.get_ptr<const json::string_t*>())
        append_text(line, *text);
    else if (value.is_number_unsigned())
        append_integer(line, value.get<std::uint64_t>());
    else if (value.is_number_integer())
        append_integer(line, value.get<std::int64_t>());
    else
        line += dump(value);
}

void append_name(std::string& line, std::string_view name)
{
    line += line.empty() ? '{' : ',';
    append_text(line, name);
    line += ':';
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
                             "the fields of a log line must be a JSON object or null");
    if (is_enabled(level))
        m_sink->write(format(level, event, fields));
}

std::string logger::format(log_level level, std::string_view event, const json& fields) const
{
    std::string line;
    line.reserve(initial_line_capacity);
    append_name(line, "time_us");
    append_integer(line, m_clock.wall_time_us());
    append_name(line, "mono_us");
    append_integer(line, to_us(m_clock.now()));
    append_name(line, "node");
    append_text(line, m_options.m_node);
    append_name(line, "incarnation");
    append_integer(line, m_incarnation.load());
    append_name(line, "level");
    append_text(line, to_string(level));
    append_name(line, "event");
    append_text(line, event);
    if (const auto* named = fields.get_ptr<const json::object_t*>()) {
        for (const auto& [name, value] : *named) {
            const bool is_reserved = std::find(standard_fields.begin(), standard_fields.end(),
                                               name) != standard_fields.end();
            append_name(line, is_reserved ? "field_" + name : name);
            append_value(line, value);
        }
    }
    return line += '}';
}

} // namespace azureladder::telemetry
