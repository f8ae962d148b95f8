#pragma once

#include <LibCore/mutex.h>
#include <LibCore/timer_service.h>
#include <map>
#include <thread>

namespace merlinpier {

// A timer service with a thread of its own, on which all callbacks run.
class timer_thread final : public timer_service {
public:
    timer_thread();
    ~timer_thread() override;
    timer_thread(timer_thread const&) = delete;
    timer_thread& operator=(timer_thread const&) = delete;

    // ^timer_service
    void stop() override;

private:
    struct subscription {
        timer_id id { 0 };
        duration period { 0 };
        std::function<void()> callback;
    };

    // ^timer_service
    timer_id addOnce(duration delay, std::function<void()>) override;
    timer_id addPeriodic(duration period, std::function<void()>) override;
    void cancel(timer_id) override;

    timer_id add(duration delay, duration period, std::function<void()>);
    void run();

    mutex m_mutex { lock_rank::Leaf };
    condition m_changed;
    std::multimap<time_point, subscription> m_queue ABSL_GUARDED_BY(m_mutex);
    timer_id m_nextId ABSL_GUARDED_BY(m_mutex) { 1 };
    timer_id m_running ABSL_GUARDED_BY(m_mutex) { 0 };
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) { false };
    std::thread m_thread;
};

} // namespace merlinpier
