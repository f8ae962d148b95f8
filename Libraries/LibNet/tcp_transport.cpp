#include <LibNet/tcp_transport.h>

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace merlinpier {

namespace {

// The names under which epoll reports what is no connection.
constexpr connection_id wakeupId = 0;
constexpr connection_id listeningId = 1;
constexpr connection_id firstConnectionId = 2;

constexpr std::size_t readBufferBytes = 64 * 1024;
constexpr int eventsPerWait = 128;

descriptor openSpare() { return descriptor(open("/dev/null", O_RDONLY | O_CLOEXEC)); }

void watchDescriptor(descriptor const& epoll, int operation, int number, connection_id id, std::uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = id;
    epoll_ctl(epoll.number(), operation, number, &event);
}

error closedHere() { return { error_kind::Unavailable, "the connection was closed on this side", "" }; }

error closedByPeer(endpoint const& peer)
{
    return { error_kind::Unavailable, "the connection was closed by " + peer.text(),
        "check whether the process there was stopped or restarted" };
}

error tooManyConnections(std::size_t maximum)
{
    return { error_kind::Unavailable, "there are " + std::to_string(maximum) + " connections already",
        "raise the limit on connections or find out who opens so many" };
}

error oversizedFrame(endpoint const& peer, std::size_t maximum)
{
    return { error_kind::Corrupt, peer.text() + " announced a frame of more than " + std::to_string(maximum) + " bytes",
        "check that both sides are daemons of the same release and that nothing else connects to the peer port" };
}

error tooMuchUnsent(endpoint const& peer, std::size_t maximum)
{
    return { error_kind::Unavailable, "more than " + std::to_string(maximum) + " bytes wait for " + peer.text(),
        "check whether the process there hangs or its network is too slow" };
}

error frameTooLarge(std::size_t bytes, std::size_t maximum)
{
    return { error_kind::BadInput,
        "a frame of " + std::to_string(bytes) + " bytes exceeds the limit of " + std::to_string(maximum),
        "send less at once or raise the limit on both sides" };
}

} // namespace

tcp_transport::connection::connection(
    connection_id id, descriptor socket, endpoint peer, connection_state state, std::size_t maximumFrameBytes)
    : id(id)
    , socket(std::move(socket))
    , peer(std::move(peer))
    , state(state)
    , waitsForWriting(state == connection_state::Connecting)
    , received(maximumFrameBytes)
{
}

result<std::unique_ptr<transport>> transport::tryCreate(transport_settings settings, transport_listener& listener)
{
    auto listening = TRY(merlinpier::listenOn(settings.listenOn));
    descriptor epoll(epoll_create1(EPOLL_CLOEXEC));
    descriptor wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!epoll.isValid() || !wakeup.isValid())
        return networkError("no descriptors for the transport", errno);
    auto created = std::make_unique<tcp_transport>(
        std::move(settings), listener, std::move(listening), std::move(epoll), std::move(wakeup));
    created->start();
    return std::unique_ptr<transport>(std::move(created));
}

tcp_transport::tcp_transport(transport_settings settings, transport_listener& listener, descriptor listening,
    descriptor epoll, descriptor wakeup)
    : m_settings(std::move(settings))
    , m_listener(listener)
    , m_listening(std::move(listening))
    , m_epoll(std::move(epoll))
    , m_wakeup(std::move(wakeup))
    , m_spare(openSpare())
    , m_port(boundPort(m_listening))
    , m_readBuffer(readBufferBytes)
    , m_nextId(firstConnectionId)
{
}

tcp_transport::~tcp_transport() { stop(); }

void tcp_transport::start()
{
    watchDescriptor(m_epoll, EPOLL_CTL_ADD, m_wakeup.number(), wakeupId, EPOLLIN);
    watchDescriptor(m_epoll, EPOLL_CTL_ADD, m_listening.number(), listeningId, EPOLLIN);
    m_thread = std::thread([this] { run(); });
}

connection_id tcp_transport::connect(endpoint const& to)
{
    auto socket = beginConnect(to, m_settings.listenOn.address);
    mutex_lock lock(m_mutex);
    if (m_isStopping)
        return m_nextId++;
    if (socket.isError() || m_connections.size() >= m_settings.maximumConnections) {
        connection_id const id = m_nextId++;
        auto failure = socket.isError() ? socket.failure() : tooManyConnections(m_settings.maximumConnections);
        failure.kind = error_kind::Unavailable;
        m_ended.push_back({ id, std::move(failure) });
        wake();
        return id;
    }
    return add(socket.releaseValue(), to, connection_state::Connecting);
}

void tcp_transport::send(connection_id id, std::string frame)
{
    mutex_lock lock(m_mutex);
    auto const found = find(id);
    if (!found)
        return;
    if (frame.size() > m_settings.maximumFrameBytes) {
        end(id, frameTooLarge(frame.size(), m_settings.maximumFrameBytes));
        return;
    }
    bool const nothingWaits = found->unsent.isEmpty();
    found->unsent.push(std::move(frame));
    if (nothingWaits && found->state == connection_state::Open)
        flush(*found);
    if (found->unsent.waitingBytes() > m_settings.maximumUnsentBytes)
        end(id, tooMuchUnsent(found->peer, m_settings.maximumUnsentBytes));
}

void tcp_transport::close(connection_id id)
{
    mutex_lock lock(m_mutex);
    end(id, closedHere());
}

transport_totals tcp_transport::totals() const
{
    mutex_lock lock(m_mutex);
    auto totals = m_totals;
    totals.connectionsOpen = m_connections.size();
    return totals;
}

void tcp_transport::stop()
{
    {
        mutex_lock lock(m_mutex);
        m_isStopping = true;
    }
    wake();
    if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
        m_thread.join();
    mutex_lock lock(m_mutex);
    m_connections.clear();
    m_ended.clear();
}

void tcp_transport::wake()
{
    std::uint64_t const one = 1;
    [[maybe_unused]] auto const written = write(m_wakeup.number(), &one, sizeof(one));
}

void tcp_transport::run()
{
    std::array<epoll_event, eventsPerWait> events {};
    // Asked before each wait too: one reading of the wake-up counter may take in the call to stop with an earlier one.
    while (!isStopping()) {
        int const count = epoll_wait(m_epoll.number(), events.data(), eventsPerWait, -1);
        for (int i = 0; i < count && !isStopping(); ++i) {
            handleEvent(events[i].data.u64, events[i].events);
            // Ends are told at once, so that they come in order with the frames of the same connection.
            reportEnded();
        }
    }
}

void tcp_transport::handleEvent(connection_id id, std::uint32_t events)
{
    if (id == wakeupId) {
        std::uint64_t count = 0;
        [[maybe_unused]] auto const taken = read(m_wakeup.number(), &count, sizeof(count));
        return;
    }
    if (id == listeningId) {
        acceptAll();
        return;
    }
    if (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
        finishConnecting(id);
    if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
        receive(id);
}

void tcp_transport::acceptAll()
{
    while (true) {
        auto accepted = acceptNext(m_listening);
        if (!accepted.socket.isValid()) {
            if (errno == EMFILE || errno == ENFILE)
                discardOneForLackOfDescriptors();
            return;
        }
        acceptOne(std::move(accepted));
    }
}

void tcp_transport::acceptOne(accepted_socket accepted)
{
    connection_id id = 0;
    {
        mutex_lock lock(m_mutex);
        if (m_connections.size() >= m_settings.maximumConnections)
            return;
        ++m_totals.connectionsAccepted;
        id = add(std::move(accepted.socket), accepted.from, connection_state::Open);
    }
    m_listener.didAccept(id, accepted.from);
}

// Epoll would report the same waiting connection over and over.
void tcp_transport::discardOneForLackOfDescriptors()
{
    m_spare = descriptor();
    acceptNext(m_listening);
    m_spare = openSpare();
}

void tcp_transport::finishConnecting(connection_id id)
{
    bool hasConnected = false;
    {
        mutex_lock lock(m_mutex);
        auto const found = find(id);
        if (!found)
            return;
        if (found->state == connection_state::Connecting) {
            int const code = connectError(found->socket);
            if (code != 0) {
                end(id, networkError("cannot connect to " + found->peer.text(), code));
                return;
            }
            found->state = connection_state::Open;
            hasConnected = true;
        }
        flush(*found);
    }
    if (hasConnected && isOpen(id))
        m_listener.didConnect(id);
}

void tcp_transport::receive(connection_id id)
{
    std::shared_ptr<connection> found;
    ssize_t count = 0;
    {
        mutex_lock lock(m_mutex);
        found = find(id);
        if (!found)
            return;
        count = recv(found->socket.number(), m_readBuffer.data(), m_readBuffer.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return;
        if (count < 0) {
            end(id, networkError("the connection to " + found->peer.text() + " broke", errno));
            return;
        }
        if (count == 0) {
            end(id, closedByPeer(found->peer));
            return;
        }
        m_totals.bytesReceived += static_cast<std::uint64_t>(count);
    }
    found->received.append(m_readBuffer.data(), static_cast<std::size_t>(count));
    if (deliver(*found))
        return;
    mutex_lock lock(m_mutex);
    end(id, oversizedFrame(found->peer, m_settings.maximumFrameBytes));
}

// Hands on every whole frame; false if the stream is of no use any more.
bool tcp_transport::deliver(connection& from)
{
    while (auto frame = from.received.next()) {
        if (!isOpen(from.id))
            return true;
        m_listener.didReceiveFrame(from.id, std::move(*frame));
    }
    return !from.received.isOversized();
}

void tcp_transport::reportEnded()
{
    while (true) {
        std::vector<ended_connection> ended;
        {
            mutex_lock lock(m_mutex);
            if (m_isStopping)
                return;
            ended.swap(m_ended);
        }
        if (ended.empty())
            return;
        for (auto& one : ended)
            m_listener.didClose(one.id, std::move(one.reason));
    }
}

connection_id tcp_transport::add(descriptor socket, endpoint const& peer, connection_state state)
{
    connection_id const id = m_nextId++;
    auto const added = std::make_shared<connection>(id, std::move(socket), peer, state, m_settings.maximumFrameBytes);
    m_connections[id] = added;
    std::uint32_t const events = added->waitsForWriting ? EPOLLIN | EPOLLOUT : EPOLLIN;
    watchDescriptor(m_epoll, EPOLL_CTL_ADD, added->socket.number(), id, events);
    return id;
}

std::shared_ptr<tcp_transport::connection> tcp_transport::find(connection_id id) const
{
    auto const found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : found->second;
}

// The connection is gone from the table at once, so that nothing is sent or delivered on it from here on; the listener
// is told by the transport's thread.
void tcp_transport::end(connection_id id, error reason)
{
    auto const found = find(id);
    if (!found)
        return;
    watchDescriptor(m_epoll, EPOLL_CTL_DEL, found->socket.number(), id, 0);
    found->socket = descriptor();
    m_connections.erase(id);
    m_ended.push_back({ id, std::move(reason) });
    wake();
}

void tcp_transport::flush(connection& to)
{
    auto const before = to.unsent.writtenBytes();
    int const code = to.unsent.flush(to.socket);
    m_totals.bytesSent += to.unsent.writtenBytes() - before;
    if (code != 0) {
        end(to.id, networkError("the connection to " + to.peer.text() + " broke", code));
        return;
    }
    watch(to);
}

void tcp_transport::watch(connection& to)
{
    bool const hasMore = !to.unsent.isEmpty();
    if (hasMore == to.waitsForWriting)
        return;
    to.waitsForWriting = hasMore;
    std::uint32_t const events = hasMore ? EPOLLIN | EPOLLOUT : EPOLLIN;
    watchDescriptor(m_epoll, EPOLL_CTL_MOD, to.socket.number(), to.id, events);
}

bool tcp_transport::isStopping() const
{
    mutex_lock lock(m_mutex);
    return m_isStopping;
}

bool tcp_transport::isOpen(connection_id id) const
{
    mutex_lock lock(m_mutex);
    return !m_isStopping && m_connections.contains(id);
}

} // namespace merlinpier
