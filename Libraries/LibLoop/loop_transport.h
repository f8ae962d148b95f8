#pragma once

#include <LibLoop/byte_stream.h>
#include <LibLoop/stream_acceptor.h>
#include <LibNet/frame_compressor.h>
#include <LibNet/frame_reader.h>
#include <LibNet/frame_scheduler.h>
#include <LibNet/part_assembler.h>
#include <LibNet/transport.h>
#include <map>
#include <memory>
#include <optional>

namespace merlinpier {

// The transport between daemons on an event loop: frames with a length prefix, compressed; large ones in parts where
// the peer takes them (docs/design/large-answers.md). Listener calls come from the loop, never from inside send(),
// connect() or close().
class loop_transport final : public transport {
public:
    // Listens at once; loop and listener must outlive the transport.
    static result<std::unique_ptr<transport>> tryCreate(event_loop&, transport_settings, transport_listener&);
    ~loop_transport() override;

    // ^transport
    std::uint16_t port() const override;
    connection_id connect(endpoint const&) override;
    void send(connection_id, std::string frame) override;
    void allowParts(connection_id) override;
    void sendBulk(connection_id, std::string frame, bulk_frame) override;
    void withdraw(connection_id, std::string const& label) override;
    void close(connection_id) override;
    transport_totals totals() const override;
    void stop() override;

private:
    class connection;

    loop_transport(event_loop&, transport_settings, transport_listener&);
    void accept(accepted_socket);
    connection* findForSending(connection_id, std::size_t frameBytes);
    // Writes the parts that may be written now.
    void writeParts();
    // Ends a connection and reports it in this turn of the loop, after the running callback.
    void end(connection_id, error reason);

    event_loop& m_loop;
    transport_settings m_settings;
    transport_listener& m_listener;
    std::unique_ptr<stream_acceptor> m_acceptor;
    std::map<connection_id, std::unique_ptr<connection>> m_connections;
    connection_id m_nextId { 1 };
    transport_totals m_totals;
    frame_compressor m_compressor;
    frame_scheduler m_scheduler;
    // Looks for parts that may be written after others have stalled, while any wait.
    std::optional<timer_subscription> m_stallTimer;
    // Shared with posted tasks, which do nothing once the transport is gone.
    std::shared_ptr<bool> m_isAlive;
};

} // namespace merlinpier
