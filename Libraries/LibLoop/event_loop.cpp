#include <LibLoop/event_loop.h>

#include <LibCore/log.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <exception>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace merlinpier {

namespace {

constexpr int eventsPerWait = 128;
// The longest that epoll_wait() sleeps when no timer is due.
constexpr int longestWaitMs = 1000;

// A timer that is called back this late shows that the process gets too little processor time for what it has to do.
constexpr milliseconds longLag { 250 };
constexpr milliseconds lagLogPeriod { 1000 };

// The write end of the pipe that signal handlers write to; one loop a process takes signals.
int signalPipe = -1;

void writeSignal(int signal)
{
    int const savedError = errno;
    auto const number = static_cast<unsigned char>(signal);
    [[maybe_unused]] ssize_t const written = ::write(signalPipe, &number, 1);
    errno = savedError;
}

std::uint32_t epollEvents(readiness wanted)
{
    auto const bits = static_cast<unsigned>(wanted);
    std::uint32_t events = 0;
    if (bits & static_cast<unsigned>(readiness::Readable))
        events |= EPOLLIN | EPOLLRDHUP;
    if (bits & static_cast<unsigned>(readiness::Writable))
        events |= EPOLLOUT;
    if (bits & static_cast<unsigned>(readiness::Ended))
        events |= EPOLLRDHUP;
    return events;
}

// Periodic timers end at multiples of their period, so that many of them end in one turn: each wake-up costs processor
// time.
time_point nextMultiple(duration period)
{
    auto const sinceEpoch = currentTime().time_since_epoch();
    return time_point((sinceEpoch / period + 1) * period);
}

} // namespace

result<std::unique_ptr<event_loop>> event_loop::tryCreate()
{
    descriptor epoll(epoll_create1(EPOLL_CLOEXEC));
    std::array<int, 2> ends { -1, -1 };
    if (!epoll.isValid() || pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        return networkError("no descriptors for the event loop", errno);
    return std::unique_ptr<event_loop>(new event_loop(std::move(epoll), descriptor(ends[0]), descriptor(ends[1])));
}

event_loop::event_loop(descriptor epoll, descriptor signalReader, descriptor signalWriter)
    : m_epoll(std::move(epoll))
    , m_signalReader(std::move(signalReader))
    , m_signalWriter(std::move(signalWriter))
{
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = m_signalReader.number();
    epoll_ctl(m_epoll.number(), EPOLL_CTL_ADD, m_signalReader.number(), &event);
}

event_loop::~event_loop()
{
    stop();
    for (auto const& [signal, handler] : m_signalHandlers)
        std::signal(signal, SIG_DFL);
    if (signalPipe == m_signalWriter.number())
        signalPipe = -1;
}

void event_loop::run()
{
    std::array<epoll_event, eventsPerWait> events {};
    m_isExiting = false;
    while (!m_isExiting) {
        int const count = epoll_wait(m_epoll.number(), events.data(), eventsPerWait, waitMilliseconds());
        for (int i = 0; i < count; ++i)
            dispatch(events[static_cast<std::size_t>(i)].data.fd, events[static_cast<std::size_t>(i)].events);
        runTimers();
        runTasks();
        runFlushes();
    }
}

void event_loop::dispatch(int number, std::uint32_t events)
{
    if (number == m_signalReader.number()) {
        handleSignals();
        return;
    }
    constexpr std::uint32_t endEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
    // A listener that was called may have ended the watch on a descriptor whose event is still to come, and another may
    // have been begun under its number.
    auto const found = m_watched.find(number);
    if (found == m_watched.end())
        return;
    auto const serial = found->second.serial;
    m_isEndKnown = (events & endEvents) != 0;
    if ((events & (EPOLLIN | endEvents)) != 0)
        callListener(number, &descriptor_listener::didBecomeReadable);
    // The end is reported in the turn of the bytes before it. Otherwise what they ask for is begun for a peer that is
    // known to have gone: a turn is long in a process that is short of processor time.
    if ((events & EPOLLIN) != 0 && m_isEndKnown && isWatched(number, serial, readiness::Readable))
        callListener(number, &descriptor_listener::didBecomeReadable);
    if ((events & EPOLLOUT) != 0 && isWatched(number, serial, readiness::Nothing))
        callListener(number, &descriptor_listener::didBecomeWritable);
}

bool event_loop::isWatched(int number, std::uint64_t serial, readiness wanted) const
{
    auto const found = m_watched.find(number);
    return found != m_watched.end() && found->second.serial == serial
        && (epollEvents(found->second.wanted) & epollEvents(wanted)) == epollEvents(wanted);
}

void event_loop::callListener(int number, void (descriptor_listener::*callback)())
{
    auto const found = m_watched.find(number);
    if (found == m_watched.end())
        return;
    auto* const listener = found->second.listener;
    try {
        (listener->*callback)();
    } catch (std::exception const& thrown) {
        ++m_failures;
        logWarning("connection_handler_failed", { { "reason", thrown.what() } });
        // The listener may have ended its watch, and itself, before it threw.
        auto const still = m_watched.find(number);
        if (still != m_watched.end() && still->second.listener == listener)
            listener->didThrow();
    }
}

void event_loop::watch(int number, readiness wanted, descriptor_listener& listener)
{
    auto const [entry, isNew] = m_watched.try_emplace(number);
    entry->second.listener = &listener;
    if (isNew)
        entry->second.serial = m_nextWatch++;
    if (!isNew && entry->second.wanted == wanted)
        return;
    entry->second.wanted = wanted;
    epoll_event event {};
    event.events = epollEvents(wanted);
    event.data.fd = number;
    epoll_ctl(m_epoll.number(), isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, number, &event);
}

void event_loop::unwatch(int number)
{
    if (m_watched.erase(number) > 0)
        epoll_ctl(m_epoll.number(), EPOLL_CTL_DEL, number, nullptr);
}

void event_loop::requestFlush(descriptor_listener& listener) { m_flushes.insert(&listener); }

void event_loop::cancelFlush(descriptor_listener& listener) { m_flushes.erase(&listener); }

void event_loop::setSignalHandler(int signal, std::function<void()> handler)
{
    m_signalHandlers[signal] = std::move(handler);
    signalPipe = m_signalWriter.number();
    struct sigaction action { };
    action.sa_handler = writeSignal;
    action.sa_flags = SA_RESTART;
    sigaction(signal, &action, nullptr);
}

void event_loop::handleSignals()
{
    std::array<unsigned char, 16> numbers {};
    ssize_t const count = ::read(m_signalReader.number(), numbers.data(), numbers.size());
    for (ssize_t i = 0; i < count; ++i) {
        auto const handler = m_signalHandlers.find(numbers[static_cast<std::size_t>(i)]);
        if (handler != m_signalHandlers.end())
            handler->second();
    }
}

timer_id event_loop::addOnce(duration delay, std::function<void()> callback)
{
    return add(currentTime() + delay, duration::zero(), std::move(callback));
}

timer_id event_loop::addPeriodic(duration period, std::function<void()> callback)
{
    return add(nextMultiple(period), period, std::move(callback));
}

timer_id event_loop::add(time_point due, duration period, std::function<void()> callback)
{
    timer_id const id = m_nextTimer++;
    m_timers.emplace(due, subscription { id, period, std::move(callback) });
    m_timerDue[id] = due;
    return id;
}

void event_loop::cancel(timer_id id)
{
    if (m_runningTimer == id)
        m_runningTimer = 0;
    auto const due = m_timerDue.find(id);
    if (due == m_timerDue.end())
        return;
    auto const [first, last] = m_timers.equal_range(due->second);
    auto const found = std::find_if(first, last, [id](auto const& entry) { return entry.second.id == id; });
    m_timerDue.erase(due);
    // The callback may own something that ends subscriptions of its own when it is destroyed.
    [[maybe_unused]] auto const ended = found == last ? decltype(m_timers)::node_type() : m_timers.extract(found);
}

void event_loop::runTimers()
{
    auto const now = currentTime();
    if (!m_timers.empty())
        noteLag(now - m_timers.begin()->first, now);
    while (!m_timers.empty() && m_timers.begin()->first <= now && !m_isExiting) {
        subscription current = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        m_timerDue.erase(current.id);
        m_runningTimer = current.id;
        current.callback();
        bool const wasCancelled = m_runningTimer != current.id;
        m_runningTimer = 0;
        if (current.period == duration::zero() || wasCancelled)
            continue;
        auto const due = nextMultiple(current.period);
        m_timerDue[current.id] = due;
        m_timers.emplace(due, std::move(current));
    }
}

void event_loop::noteLag(duration lag, time_point now)
{
    m_longestLag = std::max(m_longestLag, lag);
    if (lag < longLag || now < m_nextLagLog)
        return;
    m_nextLagLog = now + lagLogPeriod;
    logWarning("event_loop_late", { { "late_ms", toMilliseconds(lag) }, { "descriptors", m_watched.size() } });
}

duration event_loop::takeLongestLag() { return std::exchange(m_longestLag, duration::zero()); }

void event_loop::post(std::function<void()> task) { m_tasks.push_back(std::move(task)); }

void event_loop::runTasks()
{
    // Tasks that are posted by a task run in the same turn, so that what they write is flushed with the rest.
    while (!m_tasks.empty() && !m_isExiting) {
        auto tasks = std::exchange(m_tasks, {});
        for (auto const& task : tasks)
            task();
    }
}

void event_loop::runFlushes()
{
    // A flush may end other listeners, which then cancel theirs, or ask for further flushes.
    while (!m_flushes.empty()) {
        auto* listener = *m_flushes.begin();
        m_flushes.erase(m_flushes.begin());
        listener->flush();
    }
}

void event_loop::stop()
{
    m_timerDue.clear();
    [[maybe_unused]] auto const timers = std::exchange(m_timers, {});
    [[maybe_unused]] auto const tasks = std::exchange(m_tasks, {});
}

int event_loop::waitMilliseconds() const
{
    if (!m_tasks.empty() || !m_flushes.empty())
        return 0;
    if (m_timers.empty())
        return longestWaitMs;
    auto const left = m_timers.begin()->first - currentTime();
    if (left <= duration::zero())
        return 0;
    return static_cast<int>(std::min<std::int64_t>(std::chrono::ceil<milliseconds>(left).count(), longestWaitMs));
}

} // namespace merlinpier
