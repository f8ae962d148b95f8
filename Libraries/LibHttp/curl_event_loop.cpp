#include <LibHttp/curl_event_loop.h>

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace merlinpier {

namespace {

constexpr int eventsAtOnce = 64;
constexpr int noTimeout = -1;
// Attached to a socket once epoll knows it; only its being there counts.
char knownSocketMark = 0;

std::uint32_t epollEvents(int what)
{
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0)
        events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0)
        events |= EPOLLOUT;
    return events;
}

int curlEvents(std::uint32_t events)
{
    int selected = 0;
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        selected |= CURL_CSELECT_IN;
    if ((events & EPOLLOUT) != 0)
        selected |= CURL_CSELECT_OUT;
    if ((events & EPOLLERR) != 0)
        selected |= CURL_CSELECT_ERR;
    return selected;
}

} // namespace

curl_event_loop::curl_event_loop(CURLM* multi)
    : m_multi(multi)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = m_wakeEvent;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeEvent, &event);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &curl_event_loop::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &curl_event_loop::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

curl_event_loop::~curl_event_loop()
{
    // libcurl closes its remaining connections later, and would report them.
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, nullptr);
    close(m_wakeEvent);
    close(m_epoll);
}

void curl_event_loop::wake() { eventfd_write(m_wakeEvent, 1); }

void curl_event_loop::runOnce()
{
    std::array<epoll_event, eventsAtOnce> events {};
    int const count = epoll_wait(m_epoll, events.data(), eventsAtOnce, waitTimeoutMs());
    for (int i = 0; i < count; ++i) {
        int const descriptor = events.at(i).data.fd;
        if (descriptor == m_wakeEvent) {
            eventfd_t ignored = 0;
            eventfd_read(m_wakeEvent, &ignored);
        } else {
            act(descriptor, curlEvents(events.at(i).events));
        }
    }
    runDueTimer();
}

int curl_event_loop::waitTimeoutMs() const
{
    if (!m_timerDueAt)
        return noTimeout;
    auto const left = std::chrono::ceil<milliseconds>(*m_timerDueAt - currentTime());
    return static_cast<int>(std::max(milliseconds::zero(), left).count());
}

void curl_event_loop::runDueTimer()
{
    // libcurl may set the timer anew within the call.
    if (m_timerDueAt && *m_timerDueAt <= currentTime()) {
        m_timerDueAt.reset();
        act(CURL_SOCKET_TIMEOUT, 0);
    }
}

void curl_event_loop::act(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(m_multi, socket, events, &running);
}

int curl_event_loop::onSocket(CURL*, curl_socket_t socket, int what, void* self, void* socketData)
{
    static_cast<curl_event_loop*>(self)->watch(socket, what, socketData != nullptr);
    return 0;
}

void curl_event_loop::watch(curl_socket_t socket, int what, bool isKnown)
{
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(m_multi, socket, nullptr);
        return;
    }
    epoll_event event {};
    event.events = epollEvents(what);
    event.data.fd = socket;
    epoll_ctl(m_epoll, isKnown ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    if (!isKnown)
        curl_multi_assign(m_multi, socket, &knownSocketMark);
}

int curl_event_loop::onTimer(CURLM*, long timeoutMs, void* self)
{
    auto& loop = *static_cast<curl_event_loop*>(self);
    if (timeoutMs < 0)
        loop.m_timerDueAt.reset();
    else
        loop.m_timerDueAt = currentTime() + milliseconds(timeoutMs);
    return 0;
}

} // namespace merlinpier
