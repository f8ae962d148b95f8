#pragma once

#include <LibCore/result.h>
#include <LibLoop/event_loop.h>
#include <functional>
#include <memory>
#include <utility>

namespace merlinpier {

// A listening socket on an event loop.
class stream_acceptor final : private descriptor_listener {
public:
    // Unavailable if the address cannot be listened on. The callback takes over each connection.
    static result<std::unique_ptr<stream_acceptor>> tryCreate(
        event_loop&, endpoint const&, std::function<void(accepted_socket)>);
    // Called when a connection waits and the process has no descriptor left for it. It waits a moment longer.
    void setShortageHandler(std::function<void()> handler) { m_didRunShort = std::move(handler); }
    ~stream_acceptor() override;

    std::uint16_t port() const { return boundPort(m_listening); }

private:
    stream_acceptor(event_loop&, descriptor, std::function<void(accepted_socket)>);
    void didBecomeReadable() override;
    void didBecomeWritable() override { }
    void flush() override { }

    event_loop& m_loop;
    descriptor m_listening;
    std::function<void(accepted_socket)> m_didAccept;
    std::function<void()> m_didRunShort;
    timer_subscription m_shortagePause;
};

} // namespace merlinpier
