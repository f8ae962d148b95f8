#pragma once

#include <LibCore/result.h>
#include <LibCore/task_runner.h>
#include <LibCore/time.h>
#include <LibCore/timer_service.h>
#include <LibNet/socket.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace merlinpier {

// Told when a watched descriptor can be read or written. Called on the thread of the loop.
class descriptor_listener {
public:
    virtual ~descriptor_listener() = default;
    // Also called when the other side has closed or reset the connection: the next read tells which. Called a second
    // time in a turn if bytes and the end were there together.
    virtual void didBecomeReadable() = 0;
    virtual void didBecomeWritable() = 0;
    // Called once at the end of the turn in which requestFlush() was called.
    virtual void flush() = 0;
    // One of the first two has thrown. The listener ends what it uses the descriptor for.
    virtual void didThrow() { }
};

// What a descriptor is watched for; values may be combined. Ended: the other side sends no more, which Readable
// includes.
enum class readiness : std::uint8_t { Nothing = 0, Readable = 1, Writable = 2, Both = 3, Ended = 4 };

// Runs everything of a process on one thread: descriptors over epoll, timers, tasks and signals. Callbacks never run
// inside a call to the loop, so a caller need not expect to be called back while it changes its own state.
class event_loop final : public timer_service, public task_runner {
public:
    // Unavailable if the process has no descriptors left.
    static result<std::unique_ptr<event_loop>> tryCreate();
    ~event_loop() override;

    // Returns when exit() is called.
    void run();
    void exit() { m_isExiting = true; }

    // Watches a descriptor, or changes what it is watched for. The listener must outlive the watch.
    void watch(int descriptor, readiness, descriptor_listener&);
    void unwatch(int descriptor);
    // Calls flush() of the listener at the end of this turn, so that what is written in one turn costs one system call.
    void requestFlush(descriptor_listener&);
    void cancelFlush(descriptor_listener&);
    // Calls back on the thread of the loop after the process was sent the signal.
    void setSignalHandler(int signal, std::function<void()>);

    // In didBecomeReadable(): whether the other side has closed or reset the connection, perhaps behind unread bytes.
    bool isEndKnown() const { return m_isEndKnown; }
    // The number of exceptions that listeners have thrown. Each ended one connection.
    std::uint64_t failures() const { return m_failures; }

    // The longest time by which a timer was called back late since this was last asked.
    duration takeLongestLag();

    // ^task_runner
    void post(std::function<void()>) override;

    // ^timer_service
    // Also drops posted tasks.
    void stop() override;

private:
    struct subscription {
        timer_id id { 0 };
        duration period { 0 };
        std::function<void()> callback;
    };
    struct watched {
        descriptor_listener* listener { nullptr };
        readiness wanted { readiness::Nothing };
        // Tells the watch from a later one on a descriptor of the same number.
        std::uint64_t serial { 0 };
    };

    // ^timer_service
    timer_id addOnce(duration delay, std::function<void()>) override;
    timer_id addPeriodic(duration period, std::function<void()>) override;
    void cancel(timer_id) override;

    event_loop(descriptor epoll, descriptor signalReader, descriptor signalWriter);
    timer_id add(time_point due, duration period, std::function<void()>);
    void runTimers();
    void noteLag(duration, time_point now);
    // Whether the watch is still there and wants at least this.
    bool isWatched(int descriptor, std::uint64_t serial, readiness wanted) const;
    void runTasks();
    void runFlushes();
    void handleSignals();
    int waitMilliseconds() const;
    void dispatch(int descriptor, std::uint32_t events);
    // Calls the listener of the descriptor, if there is one. What it throws ends its connection, not the process.
    void callListener(int descriptor, void (descriptor_listener::*callback)());

    descriptor m_epoll;
    descriptor m_signalReader;
    descriptor m_signalWriter;
    std::unordered_map<int, watched> m_watched;
    std::multimap<time_point, subscription> m_timers;
    std::unordered_map<timer_id, time_point> m_timerDue;
    timer_id m_nextTimer { 1 };
    timer_id m_runningTimer { 0 };
    std::vector<std::function<void()>> m_tasks;
    std::set<descriptor_listener*> m_flushes;
    std::map<int, std::function<void()>> m_signalHandlers;
    std::uint64_t m_nextWatch { 1 };
    std::uint64_t m_failures { 0 };
    duration m_longestLag { 0 };
    time_point m_nextLagLog {};
    bool m_isExiting { false };
    bool m_isEndKnown { false };
};

} // namespace merlinpier
