#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace merlinpier {

// The order in which a thread may take locks: only in rising rank. Leaf locks guard a queue or a counter and are taken
// last. The order is checked at run time whenever assertions are on.
enum class lock_rank : int {
    Configuration = 10,
    Membership = 20,
    Routing = 30,
    Calls = 40,
    Admission = 50,
    Links = 60,
    Platform = 70,
    Transport = 80,
    Metrics = 90,
    Leaf = 100,
};

// A mutual exclusion lock over absl::Mutex that states its place in the lock order and that ThreadSanitizer
// understands.
class ABSL_LOCKABLE mutex {
public:
    explicit mutex(lock_rank rank)
        : m_rank(rank)
    {
    }
    mutex(mutex const&) = delete;
    mutex& operator=(mutex const&) = delete;

    void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION();
    void unlock() ABSL_UNLOCK_FUNCTION();

private:
    friend class condition;
    void enterOrder();
    void leaveOrder();

    absl::Mutex m_mutex;
    lock_rank m_rank;
};

// Holds a mutex for the length of a scope.
class ABSL_SCOPED_LOCKABLE mutex_lock {
public:
    explicit mutex_lock(mutex& held) ABSL_EXCLUSIVE_LOCK_FUNCTION(held)
        : m_held(held)
    {
        m_held.lock();
    }
    ~mutex_lock() ABSL_UNLOCK_FUNCTION() { m_held.unlock(); }
    mutex_lock(mutex_lock const&) = delete;
    mutex_lock& operator=(mutex_lock const&) = delete;

private:
    mutex& m_held;
};

// A condition variable for use with merlinpier::mutex.
class condition {
public:
    // Waits until notified or until the time has passed; the mutex is held again on return.
    void waitFor(mutex&, absl::Duration);
    void notifyAll();

private:
    absl::CondVar m_condition;
};

} // namespace merlinpier
