#pragma once

#include <LibCore/mutex.h>
#include <LibNet/frame_reader.h>
#include <LibNet/send_queue.h>
#include <LibNet/socket.h>
#include <LibNet/transport.h>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace merlinpier {

// The transport over epoll. Its thread alone reads, accepts, closes and calls the listener; any thread may write to a
// socket while it holds the lock.
class tcp_transport final : public transport {
public:
    tcp_transport(transport_settings, transport_listener&, descriptor listening, descriptor epoll, descriptor wakeup);
    ~tcp_transport() override;

    // Watches the listening socket and starts the thread.
    void start();

    std::uint16_t port() const override { return m_port; }
    connection_id connect(endpoint const&) override;
    void send(connection_id, std::string frame) override;
    void close(connection_id) override;
    transport_totals totals() const override;
    void stop() override;

private:
    enum class connection_state { Connecting, Open };

    // What the thread and the senders share about a connection.
    struct connection {
        connection(connection_id, descriptor, endpoint peer, connection_state, std::size_t maximumFrameBytes);

        connection_id id;
        descriptor socket;
        endpoint peer;
        connection_state state;
        send_queue unsent;
        bool waitsForWriting;
        // Used by the transport's thread alone.
        frame_reader received;
    };

    // A connection that is over and of which the listener has not been told.
    struct ended_connection {
        connection_id id;
        error reason;
    };

    void run();
    void wake();
    void handleEvent(connection_id, std::uint32_t events);
    void acceptAll();
    void acceptOne(accepted_socket);
    void discardOneForLackOfDescriptors();
    void finishConnecting(connection_id);
    void receive(connection_id);
    bool deliver(connection&);
    void reportEnded();

    connection_id add(descriptor, endpoint const& peer, connection_state) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::shared_ptr<connection> find(connection_id) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void end(connection_id, error reason) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void flush(connection&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void watch(connection&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool isOpen(connection_id) const;
    bool isStopping() const;

    transport_settings m_settings;
    transport_listener& m_listener;
    descriptor m_listening;
    descriptor m_epoll;
    descriptor m_wakeup;
    // Given up to accept and close a connection when the process has run out of descriptors.
    descriptor m_spare;
    std::uint16_t m_port;
    std::vector<char> m_readBuffer;
    std::thread m_thread;

    mutable mutex m_mutex { lock_rank::Transport };
    std::map<connection_id, std::shared_ptr<connection>> m_connections ABSL_GUARDED_BY(m_mutex);
    std::vector<ended_connection> m_ended ABSL_GUARDED_BY(m_mutex);
    transport_totals m_totals ABSL_GUARDED_BY(m_mutex);
    connection_id m_nextId ABSL_GUARDED_BY(m_mutex);
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) { false };
};

} // namespace merlinpier
