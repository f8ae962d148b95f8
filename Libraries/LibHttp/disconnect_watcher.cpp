#include <LibHttp/disconnect_watcher.h>

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace merlinpier {

namespace {

constexpr disconnect_watcher::watch_id stopId = 0;
constexpr int eventsAtOnce = 64;

void addToEpoll(int epoll, int descriptor, std::uint32_t events, disconnect_watcher::watch_id id)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = id;
    epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
}

} // namespace

disconnect_watcher::disconnect_watcher()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_stopEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    addToEpoll(m_epoll, m_stopEvent, EPOLLIN, stopId);
    m_thread = std::thread([this] { run(); });
}

disconnect_watcher::~disconnect_watcher()
{
    eventfd_write(m_stopEvent, 1);
    m_thread.join();
    close(m_stopEvent);
    close(m_epoll);
}

disconnect_watcher::watch_id disconnect_watcher::add(int socket, disconnect_sign sign, std::function<void()> callback)
{
    watch_id id = 0;
    {
        mutex_lock lock(m_mutex);
        id = m_nextId++;
        m_callbacks.emplace(id, std::move(callback));
    }
    // A reset is always reported.
    std::uint32_t events = EPOLLONESHOT;
    if (sign == disconnect_sign::End)
        events |= EPOLLRDHUP;
    addToEpoll(m_epoll, socket, events, id);
    return id;
}

void disconnect_watcher::remove(watch_id id, int socket)
{
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
    take(id);
}

std::function<void()> disconnect_watcher::take(watch_id id)
{
    mutex_lock lock(m_mutex);
    auto found = m_callbacks.extract(id);
    return found.empty() ? std::function<void()>() : std::move(found.mapped());
}

void disconnect_watcher::run()
{
    std::array<epoll_event, eventsAtOnce> events {};
    while (true) {
        int const count = epoll_wait(m_epoll, events.data(), eventsAtOnce, -1);
        for (int i = 0; i < count; ++i) {
            if (events.at(i).data.u64 == stopId)
                return;
            if (auto const callback = take(events.at(i).data.u64))
                callback();
        }
    }
}

} // namespace merlinpier
