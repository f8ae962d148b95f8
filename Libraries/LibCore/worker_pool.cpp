#include <LibCore/worker_pool.h>

#include <absl/time/time.h>

namespace merlinpier {

namespace {

constexpr absl::Duration idleWait = absl::Seconds(1);

} // namespace

worker_pool::worker_pool(int threads)
{
    for (int i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { run(); });
}

worker_pool::~worker_pool() { stop(); }

void worker_pool::stop()
{
    {
        mutex_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notifyAll();
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void worker_pool::post(std::function<void()> task)
{
    {
        mutex_lock lock(m_mutex);
        if (m_isStopping)
            return;
        m_tasks.push_back(std::move(task));
    }
    m_changed.notifyAll();
}

void worker_pool::run()
{
    m_mutex.lock();
    while (true) {
        if (!m_tasks.empty()) {
            auto task = std::move(m_tasks.front());
            m_tasks.pop_front();
            m_mutex.unlock();
            task();
            m_mutex.lock();
            continue;
        }
        if (m_isStopping)
            break;
        m_changed.waitFor(m_mutex, idleWait);
    }
    m_mutex.unlock();
}

} // namespace merlinpier
