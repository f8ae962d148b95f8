#include <LibCore/mutex.h>

#include <cstdio>
#include <cstdlib>
#include <vector>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#define TSAN_ANNOTATE(call) call
#else
#define TSAN_ANNOTATE(call)
#endif

namespace merlinpier {

namespace {

thread_local std::vector<lock_rank> heldRanks;

} // namespace

void mutex::enterOrder()
{
    if (!heldRanks.empty() && heldRanks.back() >= m_rank) {
        std::fprintf(stderr, "lock order violated: rank %d taken while holding rank %d\n", static_cast<int>(m_rank),
            static_cast<int>(heldRanks.back()));
        std::abort();
    }
    heldRanks.push_back(m_rank);
}

void mutex::leaveOrder() { heldRanks.pop_back(); }

void mutex::lock()
{
    enterOrder();
    TSAN_ANNOTATE(__tsan_mutex_pre_lock(this, 0));
    m_mutex.Lock();
    TSAN_ANNOTATE(__tsan_mutex_post_lock(this, 0, 0));
}

void mutex::unlock()
{
    TSAN_ANNOTATE(__tsan_mutex_pre_unlock(this, 0));
    m_mutex.Unlock();
    TSAN_ANNOTATE(__tsan_mutex_post_unlock(this, 0));
    leaveOrder();
}

void condition::waitFor(mutex& held, absl::Duration time)
{
    TSAN_ANNOTATE(__tsan_mutex_pre_unlock(&held, 0));
    TSAN_ANNOTATE(__tsan_mutex_post_unlock(&held, 0));
    m_condition.WaitWithTimeout(&held.m_mutex, time);
    TSAN_ANNOTATE(__tsan_mutex_pre_lock(&held, 0));
    TSAN_ANNOTATE(__tsan_mutex_post_lock(&held, 0, 0));
}

void condition::notifyAll() { m_condition.SignalAll(); }

} // namespace merlinpier
