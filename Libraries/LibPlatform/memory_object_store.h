#pragma once

#include <LibCore/mutex.h>
#include <LibCore/timer_thread.h>
#include <LibPlatform/object_store.h>
#include <map>

namespace merlinpier {

// The faults that a memory_object_store can simulate.
enum class store_fault_mode {
    None,
    // Every operation fails with Unavailable and has no effect; pending watches fail as well.
    Down,
    // Every operation takes effect and is answered after the delay.
    Slow,
    // Writes and removals take effect but fail with OutcomeUnknown.
    LoseAnswers,
};

// A fault to inject.
struct store_fault {
    store_fault_mode mode { store_fault_mode::None };
    // The delay of each operation, for Slow.
    duration delay { 0 };

    bool operator==(store_fault const&) const = default;
};

// An object store in memory, for tests and for the stand-in of the platform. Thread-safe. An operation that does not
// have to wait runs its callback before it returns, on the calling thread and without holding a lock.
class memory_object_store final : public object_store {
public:
    memory_object_store() = default;

    // Replaces the current fault. Operations that have already been delayed finish under the earlier one.
    void setFault(store_fault);

    // ^object_store
    void read(std::string const& key, read_callback) override;
    void write(std::string const& key, std::string value, write_condition, write_callback) override;
    void remove(std::string const& key, write_condition, remove_callback) override;
    void list(std::string const& prefix, list_callback) override;
    void watch(std::string const& key, std::uint64_t afterRevision, duration wait, read_callback) override;

private:
    // A watch whose object has no newer revision yet.
    struct pending_watch {
        std::string key;
        std::uint64_t afterRevision { 0 };
        timer_subscription expiry;
        read_callback callback;
    };
    using watch_id = std::uint64_t;

    store_fault currentFault() const;
    // Runs the operation now, or after the delay of a Slow fault.
    void afterDelay(store_fault const&, std::function<void()>);
    std::optional<stored_object> find(std::string const& key) const;
    // Writes the object if the condition holds.
    result<stored_object> apply(std::string const& key, std::string value, write_condition const&);
    void startWatch(std::string const& key, std::uint64_t afterRevision, duration wait, read_callback);
    void expireWatch(watch_id);
    void completeWatches(stored_object const&);
    void failWatches();

    mutable mutex m_mutex { lock_rank::Platform };
    std::map<std::string, stored_object> m_objects ABSL_GUARDED_BY(m_mutex);
    std::map<watch_id, pending_watch> m_watches ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastRevision ABSL_GUARDED_BY(m_mutex) { 0 };
    watch_id m_nextWatchId ABSL_GUARDED_BY(m_mutex) { 1 };
    store_fault m_fault ABSL_GUARDED_BY(m_mutex);
    // Declared last, so that its thread ends before the members that its callbacks use are destroyed.
    timer_thread m_timers;
};

} // namespace merlinpier
