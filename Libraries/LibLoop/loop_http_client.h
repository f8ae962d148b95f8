#pragma once

#include <LibHttp/http_client.h>
#include <LibLoop/event_loop.h>
#include <LibNet/endpoint.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace merlinpier {

struct loop_http_client_settings {
    // The IP number that connections come from.
    std::string localAddress { "127.0.0.1" };
    // An idle connection older than this is not used again, whatever the other side has promised.
    milliseconds longestIdle { 3000 };
    // Subtracted from what the other side promises in Keep-Alive.
    milliseconds keepAliveMargin { 1000 };
    std::size_t maximumIdleConnections { 32 };
    // Bytes of all answers together that are not whole yet. Beyond it, the longest of them is given up, so that answers
    // without end neither exhaust the memory nor hurt other exchanges.
    std::size_t maximumBufferedBytes { 24 * 1024 * 1024 };
};

// Sends HTTP requests on an event loop. Never sends a request twice by itself. An answer counts only if it is whole;
// a connection is used again only if nothing was left over on it.
class loop_http_client final : public http_client {
public:
    loop_http_client(event_loop&, loop_http_client_settings);
    ~loop_http_client() override;

    // ^http_client
    http_exchange_id send(http_client_request, http_callback) override;
    void cancel(http_exchange_id) override;
    void checkListener(std::string const& address, milliseconds timeout, listener_callback) override;

    // Connections opened since the start.
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }
    // Bytes of answers that are not whole yet.
    std::size_t bufferedBytes() const { return m_bufferedBytes; }

private:
    class connection;
    class listener_check;

    // Hands out an idle connection to the endpoint that may still be used, if there is one.
    std::shared_ptr<connection> takeIdle(std::string const& address, std::optional<http_field> const& echo);
    void keep(std::shared_ptr<connection>);
    void forget(connection const&);
    void finish(connection&, result<http_response>);
    void didBuffer(std::size_t bytes);
    void finishCheck(listener_check&, listener_state);

    event_loop& m_loop;
    loop_http_client_settings m_settings;
    std::map<http_exchange_id, std::shared_ptr<connection>> m_active;
    std::map<std::string, std::vector<std::shared_ptr<connection>>> m_idle;
    std::map<listener_check*, std::shared_ptr<listener_check>> m_checks;
    std::size_t m_bufferedBytes { 0 };
    http_exchange_id m_nextId { 1 };
    std::uint64_t m_connectionsOpened { 0 };
    // Shared with posted tasks, which do nothing once the client is gone.
    std::shared_ptr<bool> m_isAlive;
};

} // namespace merlinpier
