#pragma once

#include <LibHttp/http_server.h>
#include <LibLoop/byte_budget.h>
#include <LibLoop/event_loop.h>
#include <LibLoop/stream_acceptor.h>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <utility>

namespace merlinpier {

// What a client may send and how long it may take.
struct http_limits {
    std::size_t maximumHeaderBytes { 16 * 1024 };
    std::size_t maximumBodyBytes { 1024 * 1024 };
    // From the first byte of a request to the end of its headers.
    milliseconds headerTimeout { 10000 };
    // Without a request under way, or without a byte of a body that is due or of an answer that the client takes.
    milliseconds idleTimeout { 120000 };
    // Open at a time. For one more an idle one is closed, first those that never brought a request; if none is idle,
    // the new one is refused.
    std::size_t maximumConnections { 1'000'000 };
    // Held for the bodies of all requests that are being read or are not answered. A request that does not fit is
    // refused before its body is read if its length is announced.
    std::size_t maximumHeldBodyBytes { std::numeric_limits<std::size_t>::max() };

    bool operator==(http_limits const&) const = default;
};

// What a server still has to do for its clients.
struct unfinished_work {
    // Connections on which a request is being read or an answer is due or unsent.
    std::size_t connections { 0 };
    // Requests that have been read, or are being read, and are not answered.
    std::size_t requests { 0 };
    // Bytes of answers that clients have not taken yet.
    std::size_t unsentBytes { 0 };

    bool operator==(unfinished_work const&) const = default;
};

// What became of connections for which there was no room.
enum class connection_shortage { IdleClosed, NewRefused };

// An HTTP/1.1 server on an event loop. Requests on one connection may follow each other without waiting; they are
// handed on as they are read and answered in order. A client that closes its connection abandons what it waits for.
class loop_http_server final : public http_server {
public:
    // Listens at once; loop and handler must outlive the server. Unavailable if the address is taken.
    static result<std::unique_ptr<loop_http_server>> tryCreate(
        event_loop&, endpoint const&, http_limits, http_handler&);
    ~loop_http_server() override;

    // Holds for requests whose first byte has not been read yet.
    void setLimits(http_limits const&);
    // The bytes of bodies of requests that are being read or are not answered.
    std::size_t heldBodyBytes() const { return m_bodyBudget->held(); }
    // Called for each connection that is closed or refused because there are too many.
    void setShortageHandler(std::function<void(connection_shortage)> handler) { m_didRunShort = std::move(handler); }
    // From now on no request is read behind one that is not answered yet, and the last answer due on a connection
    // closes it.
    void startLeaving();
    // Takes no further connections and closes those on which nothing is due. To be called after startLeaving().
    void stopAccepting();
    // Whether a request has begun to arrive and is not answered, or an answer has not been written whole.
    bool hasUnfinishedWork() const { return unfinishedWork().connections > 0; }
    unfinished_work unfinishedWork() const;

    // ^http_server
    std::uint16_t port() const override { return m_acceptor ? m_acceptor->port() : 0; }
    void stop() override;

private:
    class session;
    class exchange;

    loop_http_server(event_loop&, http_limits, http_handler&);
    void accept(accepted_socket);
    void remove(session&);
    // Closes the connection that can best be spared. Returns whether there was one.
    bool closeOneIdle();
    void didRunShort(connection_shortage);
    void sweep();

    event_loop& m_loop;
    http_limits m_limits;
    std::shared_ptr<byte_budget> m_bodyBudget { std::make_shared<byte_budget>() };
    http_handler& m_handler;
    bool m_isLeaving { false };
    std::unique_ptr<stream_acceptor> m_acceptor;
    std::map<session*, std::shared_ptr<session>> m_sessions;
    std::function<void(connection_shortage)> m_didRunShort;
    time_point m_nextShortageLog {};
    timer_subscription m_sweepTimer;
};

} // namespace merlinpier
