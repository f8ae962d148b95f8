#include "peer_hub.h"

#include <LibCore/log.h>
#include <LibLoop/loop_transport.h>

namespace merlinpier {

namespace {

constexpr milliseconds tickPeriod { 25 };
// Links for control are pinged rarely: heartbeats travel on them anyway. A version that is sent on a silent link must
// still be in force in time, so the silence timeout is a fraction of the 2.5 s that a version may take.
constexpr link_settings controlLinkSettings {
    .pingPeriod = milliseconds(500), .silenceTimeout = milliseconds(1000), .connectTimeout = milliseconds(1000)
};
constexpr std::size_t maximumWaitingControlMessages = 256;
// A peer that receives nothing notices it after its next heartbeat, at most 1.1 s later, by the silence timeout, and
// then opens a new connection.
constexpr milliseconds recentControlRetention { 2500 };
constexpr std::size_t maximumRecentControlBytes = 32 * 1024;
// Pongs while a frame arrives slowly, as often as a link for calls would be pinged.
constexpr milliseconds signOfLifePeriod = link_settings {}.pingPeriod;
// Calls to the own address travel on no connection, so that their generation never rises.
constexpr std::uint64_t generationToSelf = 1;

char const* purposeName(connection_purpose purpose)
{
    return purpose == connection_purpose::Calls ? "calls" : "control";
}

} // namespace

// What the hub has to tell its listener once its own state is settled.
struct peer_hub::event {
    enum class kind { ControlUnreachable, CallsReady, CallsUnreachable };
    kind what { kind::ControlUnreachable };
    std::string address;
    std::uint64_t instance { 0 };
    std::uint64_t generation { 0 };
};

peer_hub::peer_hub(hub_identity identity, hub_listener& listener)
    : m_listener(listener)
    , m_identity(std::move(identity))
    , m_controlLinks(controlLinkSettings)
    , m_callLinks(link_settings {})
    , m_acceptedControlLinks(controlLinkSettings)
    , m_recentControl(recentControlRetention, maximumRecentControlBytes)
{
}

peer_hub::~peer_hub() { stop(); }

result<empty> peer_hub::start(event_loop& loop, transport_settings settings)
{
    m_transport = TRY(loop_transport::tryCreate(loop, std::move(settings), *this));
    m_loop = &loop;
    m_timer = loop.subscribe(tickPeriod, [this] { tick(); });
    return empty {};
}

void peer_hub::stop()
{
    if (m_loop)
        m_timer.cancel();
    m_loop = nullptr;
    if (m_transport)
        m_transport->stop();
}

void peer_hub::deliverToSelf(message content, bool isFromTarget)
{
    if (!m_loop)
        return;
    auto const carried = std::make_shared<message>(std::move(content));
    m_loop->post([this, carried, isFromTarget] {
        if (isFromTarget)
            m_listener.didReceiveFromTarget(m_identity.address, std::move(*carried));
        else
            m_listener.didReceiveFromOrigin(
                m_identity.address, m_identity.instance, generationToSelf, std::move(*carried));
    });
}

void peer_hub::setIdentity(hub_identity identity) { m_identity = std::move(identity); }

link_table& peer_hub::table(connection_purpose purpose)
{
    return purpose == connection_purpose::Calls ? m_callLinks : m_controlLinks;
}

void peer_hub::sendControl(std::string const& address, message const& content)
{
    sendControlFrame(address, encodeMessage(content));
}

void peer_hub::sendControlFrame(std::string const& address, std::string frame)
{
    auto const now = currentTime();
    if (auto const accepted = m_acceptedControl.find(address); accepted != m_acceptedControl.end()) {
        m_acceptedControlLinks.didSend(accepted->second, now);
        sendControlOn(accepted->second, std::move(frame));
        return;
    }
    if (auto const link = m_controlLinks.current(address)) {
        sendControlOn(link->connection, std::move(frame));
        m_controlLinks.didSend(address, now);
        return;
    }
    auto& waiting = m_waitingControl[address];
    if (waiting.size() >= maximumWaitingControlMessages)
        waiting.pop_front();
    waiting.push_back(std::move(frame));
    std::vector<event> events;
    carryOut(connection_purpose::Control, m_controlLinks.require(address, now), events);
    report(events);
}

void peer_hub::resendControl(connection_id lost, std::string const& address)
{
    for (auto& frame : m_recentControl.take(lost, currentTime()))
        sendControlFrame(address, std::move(frame));
}

void peer_hub::closeSilentConnections()
{
    for (auto const& action : m_acceptedControlLinks.tick(currentTime())) {
        if (auto const* asked = std::get_if<send_ping>(&action)) {
            sendOn(asked->connection, ping { asked->number });
            continue;
        }
        auto const silent = std::get<close_connection>(action).connection;
        if (auto const known = find(silent)) {
            logInfo("peer_connection_silent", { { "peer", known->address } });
            // What silenced this connection has most likely silenced the one that this daemon opened, too.
            std::vector<event> events;
            carryOut(connection_purpose::Control, m_controlLinks.replace(known->address, currentTime()), events);
            report(events);
        }
        m_transport->close(silent);
    }
}

std::optional<std::uint64_t> peer_hub::sendCall(std::string const& address, call_request call)
{
    if (address == m_identity.address) {
        call.generation = generationToSelf;
        deliverToSelf(std::move(call), false);
        return generationToSelf;
    }
    std::vector<event> events;
    if (auto const link = m_callLinks.current(address)) {
        call.generation = link->generation;
        sendOn(link->connection, call);
        return link->generation;
    }
    m_waitingCalls[address].push_back(std::move(call));
    carryOut(connection_purpose::Calls, m_callLinks.require(address, currentTime()), events);
    // The caller is still changing its own state, so what the hub has to say about this attempt waits.
    if (!events.empty() && m_loop)
        m_loop->post([this, events] { report(events); });
    return std::nullopt;
}

void peer_hub::sendAboutCall(std::string const& address, message const& content)
{
    if (address == m_identity.address) {
        deliverToSelf(content, false);
        return;
    }
    if (auto const link = m_callLinks.current(address))
        sendOn(link->connection, content);
}

std::vector<call_request> peer_hub::takeWaiting(std::string const& address)
{
    auto const found = m_waitingCalls.find(address);
    if (found == m_waitingCalls.end())
        return {};
    std::vector<call_request> calls(
        std::make_move_iterator(found->second.begin()), std::make_move_iterator(found->second.end()));
    m_waitingCalls.erase(found);
    return calls;
}

void peer_hub::dropWaiting(std::string const& address, std::string const& callId)
{
    auto const found = m_waitingCalls.find(address);
    if (found != m_waitingCalls.end())
        std::erase_if(found->second, [&](call_request const& call) { return call.id == callId; });
}

void peer_hub::setOutstanding(std::string const& address, std::size_t count)
{
    if (address == m_identity.address)
        return;
    m_callLinks.setOutstanding(address, count, currentTime());
}

void peer_hub::sendToOrigin(std::uint64_t instance, message const& content)
{
    if (instance == m_identity.instance) {
        deliverToSelf(content, true);
        return;
    }
    if (auto const found = m_acceptedCalls.find(instance); found != m_acceptedCalls.end())
        sendOn(found->second, content);
}

void peer_hub::sendBulkToOrigin(std::uint64_t instance, call_answer const& answer, time_point deadline)
{
    if (instance == m_identity.instance) {
        deliverToSelf(answer, true);
        return;
    }
    if (auto const found = m_acceptedCalls.find(instance); found != m_acceptedCalls.end())
        m_transport->sendBulk(found->second, encodeMessage(answer), { answer.id, deadline });
}

void peer_hub::withdrawFromOrigin(std::uint64_t instance, std::string const& callId)
{
    if (auto const found = m_acceptedCalls.find(instance); found != m_acceptedCalls.end())
        m_transport->withdraw(found->second, callId);
}

transport_totals peer_hub::totals() const { return m_transport->totals(); }

std::size_t peer_hub::waitingBytes() const
{
    if (!m_transport)
        return 0;
    auto const now = totals();
    return now.bytesWaiting + now.bulkBytesWaiting;
}

void peer_hub::didAccept(connection_id id, endpoint const&) { m_connections[id].way = direction::Accepted; }

void peer_hub::didConnect(connection_id id)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    auto const& known = found->second;
    hello const greeting { .purpose = known.purpose,
        .vm = m_identity.vm,
        .zone = m_identity.zone,
        .address = m_identity.address,
        .instance = m_identity.instance,
        .generation = known.generation,
        .takesParts = true };
    sendOn(id, greeting);
}

void peer_hub::didReceiveFrame(connection_id id, std::string frame)
{
    if (auto const found = m_connections.find(id); found != m_connections.end())
        found->second.signOfLifeAt.reset();
    auto decoded = decodeMessage(frame);
    if (decoded.isError()) {
        logWarning("frame_refused", { { "reason", decoded.failure().text() } });
        m_transport->close(id);
        return;
    }
    auto const known = find(id);
    if (!known)
        return;
    if (known->purpose == connection_purpose::Control)
        m_controlBytes += frame.size() + framePrefixBytes;
    std::string().swap(frame);
    if (auto const* greeting = std::get_if<hello>(&decoded.value())) {
        didReceiveHello(id, *greeting);
        return;
    }
    if (known->way == direction::Accepted && !known->hasSaidHello) {
        logWarning("frame_before_hello", {});
        m_transport->close(id);
        return;
    }
    didReceiveFromPeer(id, *known, decoded.releaseValue());
}

void peer_hub::didReceiveBytes(connection_id id)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    auto& known = found->second;
    m_acceptedControlLinks.didReceive(id);
    if (known.way == direction::Opened)
        table(known.purpose).didReceive(id, currentTime());
    // Only the daemon that opened a connection for calls watches it.
    if (known.hasSaidHello && (known.way == direction::Accepted || known.purpose == connection_purpose::Control))
        showLifeDuringFrame(id, known);
}

void peer_hub::showLifeDuringFrame(connection_id id, connection& known)
{
    auto const now = currentTime();
    if (known.signOfLifeAt && now - *known.signOfLifeAt < signOfLifePeriod)
        return;
    if (std::exchange(known.signOfLifeAt, now))
        sendOn(id, pong {});
}

std::optional<peer_hub::connection> peer_hub::find(connection_id id)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end())
        return std::nullopt;
    return found->second;
}

void peer_hub::didReceiveHello(connection_id id, hello const& greeting)
{
    if (greeting.purpose == connection_purpose::Calls)
        m_listener.didAcceptCalls(greeting.instance, greeting.generation);
    auto const found = m_connections.find(id);
    if (found == m_connections.end() || found->second.way != direction::Accepted || found->second.hasSaidHello)
        return;
    auto& known = found->second;
    known.purpose = greeting.purpose;
    known.address = greeting.address;
    known.instance = greeting.instance;
    known.generation = greeting.generation;
    known.hasSaidHello = true;
    if (greeting.takesParts && greeting.purpose == connection_purpose::Calls)
        m_transport->allowParts(id);
    connection_id formerControl = 0;
    if (greeting.purpose == connection_purpose::Control) {
        formerControl = std::exchange(m_acceptedControl[greeting.address], id);
    } else {
        auto& newest = m_acceptedCalls[greeting.instance];
        auto const older = m_connections.find(newest);
        if (older == m_connections.end() || older->second.generation < greeting.generation)
            newest = id;
    }
    sendOn(id, hello_answer { m_identity.vm, m_identity.instance, greeting.generation, true });
    // The peer has given up the connection that this one replaces, if there is one.
    resendControl(formerControl, greeting.address);
}

void peer_hub::didReceiveFromPeer(connection_id id, connection const& known, message content)
{
    auto const now = currentTime();
    if (auto const* asked = std::get_if<ping>(&content)) {
        sendOn(id, pong { asked->number });
    }
    m_acceptedControlLinks.didReceive(id);
    if (known.way == direction::Opened) {
        std::vector<event> events;
        auto& links = table(known.purpose);
        if (auto const* answer = std::get_if<hello_answer>(&content)) {
            if (auto const found = m_connections.find(id); found != m_connections.end())
                found->second.instance = answer->instance;
            carryOut(known.purpose, links.didReceiveHelloAnswer(id, *answer, now), events);
        } else {
            links.didReceive(id, now);
        }
        report(events);
    }
    if (std::holds_alternative<ping>(content) || std::holds_alternative<pong>(content)
        || std::holds_alternative<hello_answer>(content))
        return;
    if (known.purpose == connection_purpose::Control)
        m_listener.didReceiveControl(known.address, std::move(content));
    else if (known.way == direction::Accepted)
        m_listener.didReceiveFromOrigin(known.address, known.instance, known.generation, std::move(content));
    else
        m_listener.didReceiveFromTarget(known.address, std::move(content));
}

void peer_hub::didClose(connection_id id, error reason)
{
    std::vector<event> events;
    auto const found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    connection const known = found->second;
    m_connections.erase(found);
    logInfo("peer_connection_ended",
        { { "peer", known.address }, { "purpose", purposeName(known.purpose) },
            { "opened_by", known.way == direction::Opened ? "this" : "peer" }, { "reason", reason.text() } });
    m_acceptedControlLinks.didClose(id);
    if (known.way == direction::Opened) {
        carryOut(known.purpose, table(known.purpose).didClose(id, currentTime()), events);
    } else {
        if (auto const newest = m_acceptedControl.find(known.address);
            newest != m_acceptedControl.end() && newest->second == id)
            m_acceptedControl.erase(newest);
        if (auto const newest = m_acceptedCalls.find(known.instance);
            newest != m_acceptedCalls.end() && newest->second == id)
            m_acceptedCalls.erase(newest);
    }
    if (known.purpose == connection_purpose::Control)
        resendControl(id, known.address);
    report(events);
}

void peer_hub::tick()
{
    closeSilentConnections();
    if (auto const now = currentTime(); now >= m_nextExpiry) {
        m_nextExpiry = now + recentControlRetention;
        m_recentControl.expire(now);
    }
    std::vector<event> events;
    carryOut(connection_purpose::Control, m_controlLinks.tick(currentTime()), events);
    carryOut(connection_purpose::Calls, m_callLinks.tick(currentTime()), events);
    report(events);
}

void peer_hub::carryOut(connection_purpose purpose, std::vector<link_action> const& actions, std::vector<event>& events)
{
    bool const isForCalls = purpose == connection_purpose::Calls;
    for (auto const& action : actions) {
        if (auto const* wanted = std::get_if<open_connection>(&action)) {
            open(purpose, *wanted, events);
        } else if (auto const* closed = std::get_if<close_connection>(&action)) {
            m_transport->close(closed->connection);
        } else if (auto const* asked = std::get_if<send_ping>(&action)) {
            sendOn(asked->connection, ping { asked->number });
        } else if (auto const* ready = std::get_if<link_ready>(&action)) {
            logInfo("peer_link_ready", { { "peer", ready->address }, { "purpose", purposeName(purpose) } });
            if (isForCalls)
                events.push_back({ event::kind::CallsReady, ready->address, ready->instance, ready->generation });
            else
                flushControl(ready->address);
        } else if (auto const* lost = std::get_if<link_unreachable>(&action)) {
            logWarning("peer_unreachable", { { "peer", lost->address }, { "purpose", purposeName(purpose) } });
            if (!isForCalls)
                m_waitingControl.erase(lost->address);
            events.push_back(
                { isForCalls ? event::kind::CallsUnreachable : event::kind::ControlUnreachable, lost->address, 0, 0 });
        }
    }
}

void peer_hub::open(connection_purpose purpose, open_connection const& wanted, std::vector<event>& events)
{
    auto const parsed = parseEndpoint(wanted.address);
    if (parsed.isError()) {
        events.push_back(
            { purpose == connection_purpose::Calls ? event::kind::CallsUnreachable : event::kind::ControlUnreachable,
                wanted.address, 0, 0 });
        return;
    }
    // From the second generation on, the link before was closed or has gone silent.
    logInfo("peer_link_opening",
        { { "peer", wanted.address }, { "purpose", purposeName(purpose) }, { "generation", wanted.generation } });
    auto const id = m_transport->connect(parsed.value());
    m_connections[id] = { direction::Opened, purpose, wanted.address, 0, wanted.generation, true };
    table(purpose).didOpen(wanted.address, wanted.generation, id, currentTime());
}

void peer_hub::flushControl(std::string const& address)
{
    auto const link = m_controlLinks.current(address);
    auto const waiting = m_waitingControl.find(address);
    if (!link || waiting == m_waitingControl.end())
        return;
    for (auto& frame : waiting->second)
        sendControlOn(link->connection, std::move(frame));
    m_waitingControl.erase(waiting);
}

void peer_hub::sendOn(connection_id id, message const& content) { m_transport->send(id, encodeMessage(content)); }

void peer_hub::sendControlOn(connection_id id, std::string frame)
{
    m_controlBytes += frame.size() + framePrefixBytes;
    m_controlBytesSent += frame.size() + framePrefixBytes;
    m_recentControl.didSend(id, frame, currentTime());
    m_transport->send(id, std::move(frame));
}

void peer_hub::report(std::vector<event> const& events)
{
    for (auto const& happened : events) {
        switch (happened.what) {
        case event::kind::ControlUnreachable:
            m_listener.didFailToReachControl(happened.address);
            break;
        case event::kind::CallsReady:
            m_listener.didBecomeReadyForCalls(happened.address, happened.instance, happened.generation);
            break;
        case event::kind::CallsUnreachable:
            m_listener.didBecomeUnreachableForCalls(happened.address);
            break;
        }
    }
}

} // namespace merlinpier
