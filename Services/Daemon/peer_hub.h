#pragma once

#include <LibLoop/event_loop.h>
#include <LibNet/accepted_links.h>
#include <LibNet/link_table.h>
#include <LibNet/recent_messages.h>
#include <LibNet/transport.h>
#include <LibWire/message.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Who this daemon is towards its peers.
struct hub_identity {
    std::string vm;
    std::string zone;
    std::string address;
    std::uint64_t instance { 0 };

    bool operator==(hub_identity const&) const = default;
};

// Told of what arrives from other daemons.
class hub_listener {
public:
    virtual ~hub_listener() = default;
    virtual void didReceiveControl(std::string const& fromAddress, message) = 0;
    virtual void didFailToReachControl(std::string const& address) = 0;
    // An accepted connection for calls said hello; its answer is sent when this returns.
    virtual void didAcceptCalls(std::uint64_t instance, std::uint64_t generation) = 0;
    // A call_request, call_cancel, call_acknowledge or call_query, from the daemon of that instance.
    virtual void didReceiveFromOrigin(
        std::string const& address, std::uint64_t instance, std::uint64_t generation, message)
        = 0;
    // An answer from the daemon of a target.
    virtual void didReceiveFromTarget(std::string const& address, message) = 0;
    virtual void didBecomeReadyForCalls(std::string const& address, std::uint64_t instance, std::uint64_t generation)
        = 0;
    virtual void didBecomeUnreachableForCalls(std::string const& address) = 0;
};

// All connections with other daemons: one link for control and one for calls to each peer that is talked to, over one
// transport. Calls for the own address reach the listener without a connection. Control messages wait while their link
// opens, and are sent again if the link was lost soon after they were sent, so they may arrive twice; calls wait by
// themselves.
class peer_hub final : public transport_listener {
public:
    // The listener must outlive the hub.
    peer_hub(hub_identity, hub_listener&);
    ~peer_hub() override;

    // Listens and starts the links' timers.
    result<empty> start(event_loop&, transport_settings);
    void stop();
    std::uint16_t port() const { return m_transport->port(); }
    void setIdentity(hub_identity);

    // Sends on any connection for control with the peer, or opens one; drops the message if the peer is unreachable.
    void sendControl(std::string const& address, message const&);
    // Sends the call if the link is ready, with its generation filled in, and returns that generation. Otherwise opens
    // the link, keeps the call and returns nothing; takeWaiting() hands it back when the link is ready.
    std::optional<std::uint64_t> sendCall(std::string const& address, call_request);
    // Sends a message about a call if the link is ready.
    void sendAboutCall(std::string const& address, message const&);
    std::vector<call_request> takeWaiting(std::string const& address);
    void dropWaiting(std::string const& address, std::string const& callId);
    void setOutstanding(std::string const& address, std::size_t count);
    // Sends on the newest connection for calls that the instance opened, if there is one.
    void sendToOrigin(std::uint64_t instance, message const&);
    // Sends an answer that may be large and late: it gives way to all other messages on this VM's links.
    void sendBulkToOrigin(std::uint64_t instance, call_answer const&, time_point deadline);
    // Drops such an answer, if it has not been sent whole.
    void withdrawFromOrigin(std::uint64_t instance, std::string const& callId);

    transport_totals totals() const;
    // Bytes that wait to be written to other daemons.
    std::size_t waitingBytes() const;
    // Bytes of control messages sent and received, frames' prefixes included.
    std::uint64_t controlBytes() const { return m_controlBytes; }
    std::uint64_t controlBytesSent() const { return m_controlBytesSent; }

private:
    enum class direction { Opened, Accepted };
    struct connection {
        direction way { direction::Opened };
        connection_purpose purpose { connection_purpose::Control };
        std::string address;
        std::uint64_t instance { 0 };
        std::uint64_t generation { 0 };
        bool hasSaidHello { false };
        // When the other side last got a sign of life while a frame of its has been arriving, or when that frame began;
        // none if no frame is half received.
        std::optional<time_point> signOfLifeAt {};
    };
    struct event;

    void didAccept(connection_id, endpoint const&) override;
    void didConnect(connection_id) override;
    void didReceiveFrame(connection_id, std::string) override;
    void didReceivePart(connection_id id) override { didReceiveBytes(id); }
    void didReceiveBytes(connection_id) override;
    void didClose(connection_id, error) override;

    link_table& table(connection_purpose purpose);
    void tick();
    void carryOut(connection_purpose, std::vector<link_action> const&, std::vector<event>&);
    void open(connection_purpose, open_connection const&, std::vector<event>&);
    void flushControl(std::string const& address);
    // Sends the encoded message as sendControl() does.
    void sendControlFrame(std::string const& address, std::string frame);
    // Sends again what was lately sent on a connection for control that is lost: it may not have arrived.
    void resendControl(connection_id, std::string const& address);
    void closeSilentConnections();
    // The other side's pings wait behind the frame that it is sending, so it gets pongs unasked.
    void showLifeDuringFrame(connection_id, connection&);
    void sendOn(connection_id, message const&);
    // Hands a message to the listener in this turn of the loop, after the running callback.
    void deliverToSelf(message, bool isFromTarget);
    void sendControlOn(connection_id, std::string frame);
    void report(std::vector<event> const&);
    void didReceiveHello(connection_id, hello const&);
    void didReceiveFromPeer(connection_id, connection const&, message);
    std::optional<connection> find(connection_id);

    hub_listener& m_listener;
    hub_identity m_identity;
    link_table m_controlLinks;
    link_table m_callLinks;
    accepted_links m_acceptedControlLinks;
    recent_messages m_recentControl;
    std::map<connection_id, connection> m_connections;
    // The newest accepted connection of each peer.
    std::map<std::string, connection_id> m_acceptedControl;
    std::map<std::uint64_t, connection_id> m_acceptedCalls;
    std::map<std::string, std::deque<std::string>> m_waitingControl;
    std::map<std::string, std::deque<call_request>> m_waitingCalls;
    std::uint64_t m_controlBytes { 0 };
    std::uint64_t m_controlBytesSent { 0 };
    time_point m_nextExpiry {};
    std::unique_ptr<transport> m_transport;
    event_loop* m_loop { nullptr };
    timer_subscription m_timer;
};

} // namespace merlinpier
