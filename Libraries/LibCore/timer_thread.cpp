#include <LibCore/timer_thread.h>

#include <absl/time/time.h>
#include <algorithm>

namespace merlinpier {

namespace {

constexpr absl::Duration idleWait = absl::Seconds(1);

} // namespace

timer_thread::timer_thread()
    : m_thread([this] { run(); })
{
}

timer_thread::~timer_thread() { stop(); }

void timer_thread::stop()
{
    {
        mutex_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notifyAll();
    if (m_thread.joinable())
        m_thread.join();
    // Destroyed without the lock, and while the queue can still be searched: callbacks may own subscriptions.
    decltype(m_queue) ended;
    mutex_lock lock(m_mutex);
    ended.swap(m_queue);
}

timer_id timer_thread::addOnce(duration delay, std::function<void()> callback)
{
    return add(delay, duration::zero(), std::move(callback));
}

timer_id timer_thread::addPeriodic(duration period, std::function<void()> callback)
{
    return add(period, period, std::move(callback));
}

timer_id timer_thread::add(duration delay, duration period, std::function<void()> callback)
{
    timer_id id = 0;
    {
        mutex_lock lock(m_mutex);
        id = m_nextId++;
        m_queue.emplace(currentTime() + delay, subscription { id, period, std::move(callback) });
    }
    m_changed.notifyAll();
    return id;
}

void timer_thread::cancel(timer_id id)
{
    // Destroyed without the lock: the callback may own something that ends subscriptions of its own.
    std::function<void()> ended;
    mutex_lock lock(m_mutex);
    if (m_running == id)
        m_running = 0;
    auto const found
        = std::find_if(m_queue.begin(), m_queue.end(), [id](auto const& entry) { return entry.second.id == id; });
    if (found == m_queue.end())
        return;
    ended = std::move(found->second.callback);
    m_queue.erase(found);
}

void timer_thread::run()
{
    m_mutex.lock();
    while (!m_isStopping) {
        if (m_queue.empty()) {
            m_changed.waitFor(m_mutex, idleWait);
            continue;
        }
        auto const due = m_queue.begin()->first;
        auto const now = currentTime();
        if (due > now) {
            m_changed.waitFor(m_mutex, absl::FromChrono(due - now));
            continue;
        }
        subscription current = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        m_running = current.id;
        m_mutex.unlock();
        current.callback();
        m_mutex.lock();
        bool const wasCancelled = m_running == 0;
        m_running = 0;
        if (current.period > duration::zero() && !wasCancelled) {
            m_queue.emplace(currentTime() + current.period, std::move(current));
            continue;
        }
        m_mutex.unlock();
        current.callback = nullptr;
        m_mutex.lock();
    }
    m_mutex.unlock();
}

} // namespace merlinpier
