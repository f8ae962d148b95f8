#pragma once

#include <LibCore/mutex.h>
#include <LibCore/task_runner.h>
#include <deque>
#include <thread>
#include <vector>

namespace merlinpier {

// A fixed number of threads that run tasks in the order posted. Tasks may run side by side and guard what they share.
class worker_pool final : public task_runner {
public:
    explicit worker_pool(int threads);
    ~worker_pool() override;
    worker_pool(worker_pool const&) = delete;
    worker_pool& operator=(worker_pool const&) = delete;

    // ^task_runner
    void post(std::function<void()>) override;
    void stop() override;

private:
    void run();

    mutex m_mutex { lock_rank::Leaf };
    condition m_changed;
    std::deque<std::function<void()>> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) { false };
    std::vector<std::thread> m_threads;
};

} // namespace merlinpier
