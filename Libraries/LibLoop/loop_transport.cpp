#include <LibLoop/loop_transport.h>

#include <LibCore/log.h>
#include <utility>

namespace merlinpier {

class loop_transport::connection final : public byte_stream_listener {
public:
    connection(loop_transport& owner, connection_id id, endpoint const& to)
        : m_owner(owner)
        , m_id(id)
        , m_received(owner.m_settings.maximumFrameBytes)
        , m_stream(owner.m_loop, to, owner.m_settings.listenOn.address, *this)
    {
    }
    connection(loop_transport& owner, connection_id id, accepted_socket accepted)
        : m_owner(owner)
        , m_id(id)
        , m_received(owner.m_settings.maximumFrameBytes)
        , m_stream(owner.m_loop, std::move(accepted), *this)
    {
    }

    byte_stream& stream() { return m_stream; }
    std::string compress(std::string_view frame) { return m_owner.m_compressor.compress(frame, m_sent); }

private:
    void didConnect() override { m_owner.m_listener.didConnect(m_id); }

    void didReceiveBytes(std::string_view bytes) override
    {
        // A connection that was closed on this side lives until the end of the turn, and hears nothing any more.
        if (!m_owner.m_connections.contains(m_id))
            return;
        m_owner.m_totals.bytesReceived += bytes.size();
        m_received.append(bytes.data(), bytes.size());
        auto& owner = m_owner;
        auto const id = m_id;
        while (auto compressed = m_received.next()) {
            auto frame = owner.m_compressor.decompress(*compressed, m_taken, owner.m_settings.maximumFrameBytes);
            compressed.reset();
            if (frame.isError()) {
                owner.end(id, frame.releaseFailure());
                return;
            }
            owner.m_listener.didReceiveFrame(id, frame.releaseValue());
            // The listener may have closed this connection.
            if (!owner.m_connections.contains(id))
                return;
        }
        if (m_received.isOversized())
            owner.end(id,
                { error_kind::Corrupt, "a frame announced more bytes than are allowed",
                    "check that both sides are daemons of the same release" });
    }

    void didReachEnd() override
    {
        m_owner.end(m_id,
            { error_kind::Unavailable, "the connection was closed by " + m_stream.peer().text(),
                "check whether the process there was stopped or restarted" });
    }

    void didFail(error reason) override { m_owner.end(m_id, std::move(reason)); }

    loop_transport& m_owner;
    connection_id m_id;
    frame_reader m_received;
    // What was sent and taken before, for the compression of frames.
    recent_frames m_sent;
    recent_frames m_taken;
    byte_stream m_stream;
};

result<std::unique_ptr<transport>> loop_transport::tryCreate(
    event_loop& loop, transport_settings settings, transport_listener& listener)
{
    std::unique_ptr<loop_transport> created(new loop_transport(loop, std::move(settings), listener));
    created->m_acceptor = TRY(stream_acceptor::tryCreate(loop, created->m_settings.listenOn,
        [raw = created.get()](accepted_socket accepted) { raw->accept(std::move(accepted)); }));
    return std::unique_ptr<transport>(std::move(created));
}

loop_transport::loop_transport(event_loop& loop, transport_settings settings, transport_listener& listener)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_listener(listener)
    , m_isAlive(std::make_shared<bool>(true))
{
}

loop_transport::~loop_transport() { stop(); }

std::uint16_t loop_transport::port() const { return m_acceptor ? m_acceptor->port() : 0; }

connection_id loop_transport::connect(endpoint const& to)
{
    auto const id = m_nextId++;
    if (m_connections.size() >= m_settings.maximumConnections)
        end(id, { error_kind::Unavailable, "too many connections", "raise the limit on connections" });
    else
        m_connections.emplace(id, std::make_unique<connection>(*this, id, to));
    return id;
}

void loop_transport::accept(accepted_socket accepted)
{
    if (m_connections.size() >= m_settings.maximumConnections) {
        logWarning("peer_connection_refused", { { "from", accepted.from.text() } });
        return;
    }
    auto const id = m_nextId++;
    auto const from = accepted.from;
    ++m_totals.connectionsAccepted;
    m_connections.emplace(id, std::make_unique<connection>(*this, id, std::move(accepted)));
    m_listener.didAccept(id, from);
}

void loop_transport::send(connection_id id, std::string frame)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    auto& stream = found->second->stream();
    if (frame.size() > m_settings.maximumFrameBytes
        || stream.unsentBytes() + frame.size() > m_settings.maximumUnsentBytes) {
        end(id,
            { error_kind::Unavailable, "too many bytes wait for " + stream.peer().text(),
                "check whether the process there hangs or its network is too slow" });
        return;
    }
    auto compressed = found->second->compress(frame);
    m_totals.bytesSent += compressed.size() + framePrefixBytes;
    stream.send(framePrefix(compressed.size()));
    stream.send(std::move(compressed));
}

void loop_transport::close(connection_id id)
{
    end(id, { error_kind::Unavailable, "the connection was closed on this side", "" });
}

void loop_transport::end(connection_id id, error reason)
{
    // The connection's own callback may be running, so it is destroyed by the posted task.
    auto const found = m_connections.find(id);
    std::shared_ptr<connection> ended;
    if (found != m_connections.end()) {
        ended = std::move(found->second);
        m_connections.erase(found);
    }
    m_loop.post([this, id, ended, reason = std::move(reason), alive = std::weak_ptr(m_isAlive)] {
        if (alive.lock())
            m_listener.didClose(id, reason);
    });
}

transport_totals loop_transport::totals() const
{
    auto totals = m_totals;
    totals.connectionsOpen = m_connections.size();
    return totals;
}

void loop_transport::stop()
{
    m_isAlive.reset();
    m_acceptor.reset();
    m_connections.clear();
}

} // namespace merlinpier
