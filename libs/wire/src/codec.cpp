#include "codec.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace azureladder::wire {

namespace {

constexpr std::size_t port_bytes = 2;

template <class Address>
decode_error decode_address(const json::binary_t& input, endpoint& value)
{
    typename Address::bytes_type bytes{};
    std::copy_n(input.begin(), bytes.size(), bytes.begin());
    value.m_host = Address(bytes).to_string();
    value.m_port = std::uint16_t(input[bytes.size()] << 8 | input[bytes.size() + 1]);
    return std::nullopt;
}

template <class Address>
json encode_address(const Address& address, std::uint16_t port)
{
    const auto bytes = address.to_bytes();
    std::vector<std::uint8_t> output(bytes.begin(), bytes.end());
    output.push_back(std::uint8_t(port >> 8));
    output.push_back(std::uint8_t(port & 0xff));
    return json::binary(std::move(output));
}

} // namespace

json encode_endpoint(const endpoint& value)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(value.m_host, error);
    if (error)
        return json::binary({});
    if (address.is_v4())
        return encode_address(address.to_v4(), value.m_port);
    return encode_address(address.to_v6(), value.m_port);
}

decode_error decode_endpoint(const json& input, endpoint& value, std::string_view key)
{
    using namespace boost::asio::ip;
    if (!input.is_binary())
        return make_decode_error(wire_error_kind::wrong_type, key);
    const auto& bytes = input.get_binary();
    if (bytes.empty())
        return std::nullopt;
    if (bytes.size() == address_v4::bytes_type().size() + port_bytes)
        return decode_address<address_v4>(bytes, value);
    if (bytes.size() == address_v6::bytes_type().size() + port_bytes)
        return decode_address<address_v6>(bytes, value);
    return make_decode_error(wire_error_kind::out_of_range, key);
}

json encode_string(const std::string& value, text_style style)
{
    if (style == text_style::utf8)
        return value;
    return json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
}

decode_error decode_string(const json& input, std::string& value, std::uint64_t limit,
                           text_style style, std::string_view key)
{
    if (style == text_style::utf8) {
        if (!input.is_string())
            return make_decode_error(wire_error_kind::wrong_type, key);
        value = input.get_ref<const std::string&>();
        if (!is_valid_utf8(value))
            return make_decode_error(wire_error_kind::out_of_range, key);
    } else {
        if (!input.is_binary())
            return make_decode_error(wire_error_kind::wrong_type, key);
        const auto& bytes = input.get_binary();
        value.assign(bytes.begin(), bytes.end());
    }
    if (value.size() > limit)
        return make_decode_error(wire_error_kind::too_large, key);
    return std::nullopt;
}

decode_error decode_unsigned(const json& input, std::uint64_t& value, std::uint64_t limit,
                             std::string_view key)
{
    if (!input.is_number_integer())
        return make_decode_error(wire_error_kind::wrong_type, key);
    // The CBOR parser stores every non-negative integer as unsigned.
    if (!input.is_number_unsigned())
        return make_decode_error(wire_error_kind::out_of_range, key);
    value = input.get<std::uint64_t>();
    if (value > limit)
        return make_decode_error(wire_error_kind::out_of_range, key);
    return std::nullopt;
}

json encode_load(double value)
{
    if (!std::isfinite(value) || value < 0.0)
        return -1.0;
    return std::min(value, 1.0);
}

decode_error decode_load(const json& input, double& value, std::string_view key)
{
    if (!input.is_number_float())
        return make_decode_error(wire_error_kind::wrong_type, key);
    value = input.get<double>();
    if (!(value >= -1.0 && value <= 1.0))
        return make_decode_error(wire_error_kind::out_of_range, key);
    return std::nullopt;
}

} // namespace azureladder::wire
