#pragma once

#include <LibHttp/http_client.h>
#include <LibPlatform/object_store.h>
#include <memory>

namespace merlinpier {

// The platform's object API over HTTP (docs/design/interfaces.md). Callbacks run on the thread of the HTTP client,
// which must outlive the store. No callback begins after the store is destroyed.
class http_object_store final : public object_store {
public:
    // The address is "IP:PORT". The timeout applies to all operations but watches, which are bounded by their wait.
    http_object_store(http_client&, std::string const& address, milliseconds timeout = milliseconds(3000));

    // ^object_store
    void read(std::string const& key, read_callback) override;
    void write(std::string const& key, std::string value, write_condition, write_callback) override;
    void remove(std::string const& key, write_condition, remove_callback) override;
    void list(std::string const& prefix, list_callback) override;
    void watch(std::string const& key, std::uint64_t afterRevision, duration wait, read_callback) override;

private:
    // Sends a request; its callback is dropped if the store is destroyed before the response arrives.
    void send(http_client_request, http_callback);
    void sendRead(std::string const& pathWithQuery, milliseconds timeout, read_callback);

    http_client& m_client;
    std::string const m_baseUrl;
    milliseconds const m_timeout;
    // Pending requests hold a weak reference to it, which expires when the store is destroyed.
    std::shared_ptr<bool> m_isAlive;
};

} // namespace merlinpier
