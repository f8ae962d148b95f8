#pragma once

#include <LibCore/mutex.h>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace merlinpier {

// A fixed number of threads that run tasks in the order posted. Tasks may run side by side and guard what they share.
class worker_pool {
public:
    explicit worker_pool(int threads);
    ~worker_pool();
    worker_pool(worker_pool const&) = delete;
    worker_pool& operator=(worker_pool const&) = delete;

    // Queues a task; ignored once the pool is stopped.
    void post(std::function<void()>);
    // Runs what is queued, then ends the threads. Not to be called from a task.
    void stop();

private:
    void run();

    mutex m_mutex { lock_rank::Leaf };
    condition m_changed;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) { false };
    std::vector<std::thread> m_threads;
};

} // namespace merlinpier
