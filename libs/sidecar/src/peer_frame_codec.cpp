#include <azureladder/sidecar/peer_frame_codec.hpp>

#include "peer_frame_fields.hpp"

#include <azureladder/base/object_reader.hpp>

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <type_traits>

namespace azureladder::sidecar {

namespace {

/// Limit of elements in an array or map of a frame, which bounds the memory that malformed lengths
/// can allocate.
constexpr std::size_t max_elements = 64U * 1024;

/// Deepest nesting of arrays and maps in a frame.
constexpr std::size_t max_depth = 12;

/// Output of the packer: appends to a string.
struct string_output
{
    std::string& m_bytes;

    void write(const char* data, std::size_t size) { m_bytes.append(data, size); }
};

using packer = msgpack::packer<string_output>;

template <class Value>
void pack(packer& out, const Value& value);

template <class Value>
struct is_plain : std::bool_constant<std::is_arithmetic_v<Value>>
{
};

template <>
struct is_plain<std::string> : std::true_type
{
};

void pack_value(packer& out, duration value)
{
    out.pack(static_cast<std::int64_t>(value.count()));
}

template <class Value>
void pack_value(packer& out, const std::vector<Value>& values)
{
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& value : values)
        pack(out, value);
}

void pack_value(packer& out, const routing::route_service_times& times)
{
    out.pack_array(static_cast<std::uint32_t>(times.size()));
    for (const auto& time : times)
        pack(out, time);
}

template <class Value>
void pack_value(packer& out, const std::map<std::string, Value>& values)
{
    out.pack_map(static_cast<std::uint32_t>(values.size()));
    for (const auto& [name, value] : values) {
        out.pack(name);
        pack(out, value);
    }
}

template <class Value>
void pack_value(packer& out, const std::optional<Value>& value)
{
    if (value)
        pack(out, *value);
    else
        out.pack_nil();
}

template <class Value>
void pack_value(packer& out, const std::shared_ptr<const Value>& value)
{
    pack(out, *value);
}

template <class Value>
auto pack_value(packer& out, const Value& value)
    -> decltype(fields_of(value, static_cast<const Value*>(nullptr)), void())
{
    std::apply(
        [&](const auto&... fields) {
            out.pack_array(sizeof...(fields));
            (pack(out, fields), ...);
        },
        fields_of(value, static_cast<const Value*>(nullptr)));
}

template <class Value>
void pack(packer& out, const Value& value)
{
    if constexpr (std::is_enum_v<Value>)
        out.pack(static_cast<int>(value));
    else if constexpr (is_plain<Value>::value)
        out.pack(value);
    else
        pack_value(out, value);
}

template <class Value>
void read(const msgpack::object& row, Value& value);

void read_value(const msgpack::object& row, duration& value)
{
    value = duration(row.as<std::int64_t>());
}

template <class Value>
void read_value(const msgpack::object& row, std::vector<Value>& values)
{
    if (row.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
    values.resize(row.via.array.size);
    for (std::uint32_t i = 0; i < row.via.array.size; ++i)
        read(row.via.array.ptr[i], values[i]);
}

void read_value(const msgpack::object& row, routing::route_service_times& times)
{
    if (row.type != msgpack::type::ARRAY || row.via.array.size > times.capacity())
        throw msgpack::type_error();
    times.resize(row.via.array.size);
    for (std::uint32_t i = 0; i < row.via.array.size; ++i)
        read(row.via.array.ptr[i], times[i]);
}

template <class Value>
void read_value(const msgpack::object& row, std::map<std::string, Value>& values)
{
    if (row.type != msgpack::type::MAP)
        throw msgpack::type_error();
    for (std::uint32_t i = 0; i < row.via.map.size; ++i)
        read(row.via.map.ptr[i].val, values[row.via.map.ptr[i].key.as<std::string>()]);
}

template <class Value>
void read_value(const msgpack::object& row, std::optional<Value>& value)
{
    if (row.is_nil())
        value.reset();
    else
        read(row, value.emplace());
}

template <class Value>
void read_value(const msgpack::object& row, std::shared_ptr<const Value>& value)
{
    auto decoded = std::make_shared<Value>();
    read(row, *decoded);
    value = std::move(decoded);
}

template <class Value>
auto read_value(const msgpack::object& row, Value& value)
    -> decltype(fields_of(value, static_cast<const Value*>(nullptr)), void())
{
    std::apply(
        [&](auto&... fields) {
            if (row.type != msgpack::type::ARRAY || row.via.array.size < sizeof...(fields))
                throw msgpack::type_error();
            const msgpack::object* next = row.via.array.ptr;
            (read(*next++, fields), ...);
        },
        fields_of(value, static_cast<const Value*>(nullptr)));
}

/// Reads the position of an enumerator in a name table that lists all of them in order.
template <class Enum, std::size_t Size>
void read_enumerator(const msgpack::object& row, Enum& value, const enum_name<Enum> (&names)[Size])
{
    const auto number = row.as<std::uint32_t>();
    if (number >= Size)
        throw msgpack::type_error();
    value = names[number].m_value;
}

void read_value(const msgpack::object& row, refusal_reason& value)
{
    read_enumerator(row, value, refusal_reason_names);
}

void read_value(const msgpack::object& row, quota_answer& value)
{
    read_enumerator(row, value, quota_answer_names);
}

void read_value(const msgpack::object& row, routing::request_kind& value)
{
    read_enumerator(row, value, routing::request_kind_names);
}

template <class Value>
void read(const msgpack::object& row, Value& value)
{
    if constexpr (is_plain<Value>::value)
        value = row.as<Value>();
    else
        read_value(row, value);
    if constexpr (std::is_floating_point_v<Value>) {
        if (!std::isfinite(value))
            throw msgpack::type_error();
    }
}

template <class Value>
bool has_utf8_keys(const std::map<std::string, Value>& values)
{
    return std::all_of(values.begin(), values.end(),
                       [](const auto& entry) { return is_utf8(entry.first); });
}

/// Whether the fields of a frame that are written to JSON texts are UTF-8, and lengths possible.
struct content_check
{
    bool operator()(const hello_frame& frame) const
    {
        return is_utf8(frame.m_node) && is_utf8(frame.m_address) && is_utf8(frame.m_zone) &&
               has_utf8_keys(frame.m_known_nodes) && has_utf8_keys(frame.m_departed_servers);
    }

    bool operator()(const status_frame& frame) const
    {
        return is_utf8(frame.m_status.m_service) && is_utf8(frame.m_status.m_server_incarnation) &&
               has_utf8_keys(frame.m_status.m_departed_servers);
    }

    bool operator()(const request_frame& frame) const
    {
        return frame.m_body_bytes <= max_frame_bytes && is_utf8(frame.m_request->m_organisation);
    }

    bool operator()(const refusal_frame& frame) const
    {
        return !frame.m_owner || is_utf8(frame.m_owner->m_owner);
    }

    bool operator()(const released_keys_frame& frame) const
    {
        return is_utf8(frame.m_service) &&
               std::all_of(frame.m_released.begin(), frame.m_released.end(), [](const auto& keys) {
                   return is_utf8(keys.m_target) && is_utf8(keys.m_handover);
               });
    }

    bool operator()(const quota_request_frame& frame) const
    {
        return is_utf8(frame.m_organisation);
    }

    bool operator()(const quota_answer_frame& frame) const { return is_utf8(frame.m_organisation); }

    bool operator()(const quota_return_frame& frame) const { return is_utf8(frame.m_organisation); }

    /// HTTP messages with unusable fields are refused where they are written, and the texts of
    /// documents are parsed before they are written on.
    template <class Frame>
    bool operator()(const Frame& /*frame*/) const
    {
        return true;
    }
};

using frame_reader = void (*)(const msgpack::object&, peer_frame&);

template <std::size_t... Kinds>
constexpr std::array<frame_reader, sizeof...(Kinds)>
make_frame_readers(std::index_sequence<Kinds...> /*kinds*/)
{
    return {[](const msgpack::object& row, peer_frame& frame) {
        read(row, frame.emplace<Kinds>());
    }...};
}

constexpr auto frame_readers = make_frame_readers(std::make_index_sequence<frame_kind_count>());

void append_length(std::string& bytes, std::size_t length)
{
    for (const int shift : {24, 16, 8, 0})
        bytes.push_back(static_cast<char>((length >> shift) & 0xFF));
}

std::size_t read_length(std::string_view bytes)
{
    std::size_t length = 0;
    for (const char byte : bytes.substr(0, frame_prefix_bytes))
        length = length << 8 | static_cast<unsigned char>(byte);
    return length;
}

} // namespace

std::string encode_frame(const peer_frame& frame)
{
    std::string bytes(frame_prefix_bytes, '\0');
    string_output output{bytes};
    packer out(output);
    out.pack_array(2);
    out.pack(static_cast<std::uint32_t>(frame.index()));
    std::visit([&](const auto& value) { pack(out, value); }, frame);
    std::string prefix;
    append_length(prefix, bytes.size() - frame_prefix_bytes);
    bytes.replace(0, frame_prefix_bytes, prefix);
    return bytes;
}

frame_state decode_frame(std::string_view buffer, peer_frame& frame, std::size_t& used)
{
    if (buffer.size() < frame_prefix_bytes)
        return frame_state::incomplete;
    const std::size_t length = read_length(buffer);
    if (length > max_frame_bytes)
        return frame_state::invalid;
    if (buffer.size() < length + frame_prefix_bytes)
        return frame_state::incomplete;
    used = length + frame_prefix_bytes;
    try {
        // Strings refer to the buffer until they are copied into the frame.
        const auto refer = [](msgpack::type::object_type, std::size_t, void*) { return true; };
        // Reused, because a new zone allocates 8 KiB for each frame.
        static thread_local msgpack::zone zone;
        zone.clear();
        const msgpack::object row =
            msgpack::unpack(zone, buffer.data() + frame_prefix_bytes, length, refer, nullptr,
                            msgpack::unpack_limit(max_elements, max_elements, max_frame_bytes,
                                                  max_frame_bytes, max_frame_bytes, max_depth));
        if (row.type != msgpack::type::ARRAY || row.via.array.size < 2)
            return frame_state::malformed;
        const auto kind = row.via.array.ptr[0].as<std::size_t>();
        if (kind >= frame_kind_count)
            return frame_state::malformed;
        frame_readers[kind](row.via.array.ptr[1], frame);
    } catch (const msgpack::unpack_error&) {
        return frame_state::malformed;
    } catch (const msgpack::type_error&) {
        return frame_state::malformed;
    }
    return std::visit(content_check(), frame) ? frame_state::complete : frame_state::malformed;
}

} // namespace azureladder::sidecar
