#pragma once

#include <azureladder/http/client.hpp>
#include <azureladder/platform/store.hpp>

namespace azureladder::platform {

/// Options of `http_store`.
struct http_store_options
{
    endpoint m_server;
    milliseconds m_read_timeout{1'000};
    milliseconds m_write_timeout{2'000};
    std::size_t m_max_connections = 8;
};

/// The platform store over HTTP ("Platform store calls" of docs/design.md).
class http_store final : public store
{
public:
    explicit http_store(const http_store_options& options);

    result<std::optional<versioned_value>, store_error> read(const std::string& key) override;

    /// Sends the known version as `If-None-Match`. A store that ignores this header returns the
    /// value, which costs bandwidth but gives the same result to the caller.
    result<conditional_read_result, store_error> read_if_changed(const std::string& key,
                                                                 version known_version) override;

    /// Uses a new connection for each write: on a reused connection that the store closes at the
    /// same time, the outcome of the write would be unknown.
    result<version, store_error> write(const std::string& key, const std::string& value,
                                       version expected_version) override;

private:
    result<http::response, http::client_error> get(const std::string& key, version known_version);

    const http_store_options m_options;
    http::client m_client;
};

} // namespace azureladder::platform
