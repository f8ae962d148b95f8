#include <LibLoop/loop_transport.h>

#include <LibCore/log.h>
#include <utility>

namespace merlinpier {

namespace {

// Bytes that a connection that takes parts may have unsent in the kernel's buffer before it takes another part: a small
// frame waits there for no more than this and one part.
constexpr int unsentInKernelBytes = 16 * 1024;
// How often it is checked, while parts wait, whether connections have stalled.
constexpr milliseconds stallCheckDelay { 50 };

} // namespace

class loop_transport::connection final : public byte_stream_listener {
public:
    connection(loop_transport& owner, connection_id id, endpoint const& to)
        : m_owner(owner)
        , m_id(id)
        , m_received(owner.m_settings.maximumFrameBytes, frame_reader::content::Parts)
        , m_assembled(owner.m_settings.maximumFrameBytes)
        , m_stream(owner.m_loop, to, owner.m_settings.listenOn.address, *this)
    {
    }
    connection(loop_transport& owner, connection_id id, accepted_socket accepted)
        : m_owner(owner)
        , m_id(id)
        , m_received(owner.m_settings.maximumFrameBytes, frame_reader::content::Parts)
        , m_assembled(owner.m_settings.maximumFrameBytes)
        , m_stream(owner.m_loop, std::move(accepted), *this)
    {
    }

    byte_stream& stream() { return m_stream; }
    std::string compress(std::string_view frame) { return m_owner.m_compressor.compress(frame, m_sent); }
    bool takesParts() const { return m_takesParts; }
    void allowParts() { m_takesParts = true; }
    // Connections without large frames keep the kernel's own limits.
    void prepareForParts()
    {
        if (!std::exchange(m_isPrepared, true))
            m_stream.limitKernelBuffer(unsentInKernelBytes);
    }

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
        bool isIncomplete = true;
        while (auto compressed = m_received.next()) {
            isIncomplete = false;
            bool const isPart = m_received.isPart();
            if (isPart) {
                auto whole = m_assembled.add(*compressed);
                if (whole.isError()) {
                    owner.end(id, whole.releaseFailure());
                    return;
                }
                compressed = whole.releaseValue();
                if (!compressed) {
                    owner.m_listener.didReceivePart(id);
                    if (!owner.m_connections.contains(id))
                        return;
                    continue;
                }
            }
            // Parts of other frames came in between, so the history of a large frame would differ at the two ends.
            recent_frames none;
            auto frame = owner.m_compressor.decompress(
                *compressed, isPart ? none : m_taken, owner.m_settings.maximumFrameBytes);
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
        else if (isIncomplete)
            owner.m_listener.didReceiveBytes(id);
    }

    void didReachEnd() override
    {
        m_owner.end(m_id,
            { error_kind::Unavailable, "the connection was closed by " + m_stream.peer().text(),
                "check whether the process there was stopped or restarted" });
    }

    void didFail(error reason) override { m_owner.end(m_id, std::move(reason)); }

    void didWriteAll() override
    {
        if (!m_takesParts)
            return;
        m_owner.m_scheduler.didWrite(m_id);
        m_owner.writeParts();
    }

    loop_transport& m_owner;
    connection_id m_id;
    frame_reader m_received;
    part_assembler m_assembled;
    bool m_takesParts { false };
    bool m_isPrepared { false };
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

// Returns the connection if it may take a frame of that size; ends one for which too much waits already.
loop_transport::connection* loop_transport::findForSending(connection_id id, std::size_t frameBytes)
{
    auto const found = m_connections.find(id);
    if (found == m_connections.end())
        return nullptr;
    auto const& stream = found->second->stream();
    if (frameBytes <= m_settings.maximumFrameBytes
        && stream.unsentBytes() + m_scheduler.waitingBytes(id) + frameBytes <= m_settings.maximumUnsentBytes)
        return found->second.get();
    end(id,
        { error_kind::Unavailable, "too many bytes wait for " + stream.peer().text(),
            "check whether the process there hangs or its network is too slow" });
    return nullptr;
}

void loop_transport::send(connection_id id, std::string frame)
{
    auto* const to = findForSending(id, frame.size());
    if (!to)
        return;
    auto compressed = to->compress(frame);
    m_totals.bytesSent += compressed.size() + framePrefixBytes;
    to->stream().send(framePrefix(compressed.size()));
    to->stream().send(std::move(compressed));
}

void loop_transport::allowParts(connection_id id)
{
    if (auto const found = m_connections.find(id); found != m_connections.end())
        found->second->allowParts();
}

void loop_transport::sendBulk(connection_id id, std::string frame, bulk_frame terms)
{
    auto* const to = findForSending(id, frame.size());
    if (!to)
        return;
    if (!to->takesParts() || frame.size() <= largeFrameBytes) {
        auto const before = m_totals.bytesSent;
        send(id, std::move(frame));
        m_totals.bulkBytesSent += m_totals.bytesSent - before;
        return;
    }
    to->prepareForParts();
    recent_frames none;
    auto compressed = m_compressor.compress(frame, none);
    m_scheduler.add(id, std::move(compressed), std::move(terms), currentTime());
    writeParts();
}

void loop_transport::withdraw(connection_id id, std::string const& label)
{
    m_scheduler.withdraw(id, label);
    writeParts();
}

void loop_transport::writeParts()
{
    while (auto scheduled = m_scheduler.next(currentTime())) {
        auto const found = m_connections.find(scheduled->connection);
        if (found == m_connections.end()) {
            m_scheduler.didClose(scheduled->connection);
            continue;
        }
        auto bytes = partPrefix(scheduled->part);
        bytes += scheduled->part.bytes;
        m_totals.bytesSent += bytes.size();
        m_totals.bulkBytesSent += bytes.size();
        ++m_totals.partsSent;
        found->second->stream().send(std::move(bytes));
    }
    if (m_scheduler.isEmpty() || m_stallTimer)
        return;
    m_stallTimer = m_loop.subscribeOnce(stallCheckDelay, [this] {
        m_stallTimer.reset();
        writeParts();
    });
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
        m_scheduler.didClose(id);
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
    totals.bulkBytesWaiting = m_scheduler.waitingBytes();
    totals.bulkFramesExpired = m_scheduler.expiredFrames();
    for (auto const& [id, open] : m_connections)
        totals.bytesWaiting += open->stream().unsentBytes();
    return totals;
}

void loop_transport::stop()
{
    m_isAlive.reset();
    m_stallTimer.reset();
    m_acceptor.reset();
    m_connections.clear();
}

} // namespace merlinpier
