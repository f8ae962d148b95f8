#pragma once

#include <LibConfiguration/retry_back_off.h>
#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibDistribution/distribution_settings.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Asks the owner to read a platform object and to report by didReadPlatform().
struct read_platform_object {
    std::string key;
    bool operator==(read_platform_object const&) const = default;
};
// Asks the owner to watch the head and to report by didWatchPlatform().
struct watch_platform_head {
    std::uint64_t afterRevision { 0 };
    duration wait { 0 };
    bool operator==(watch_platform_head const&) const = default;
};

// Decides when the platform may be called: within a budget of calls, one watch at a time, each read once, and after a
// failure not before a jittered back-off has passed.
class platform_calls {
public:
    explicit platform_calls(distribution_settings const&);

    std::optional<time_point> silentSince() const { return m_silentSince; }
    // This daemon does not call the platform (any more).
    void stop() { m_silentSince.reset(); }

    // The watch to start now, if any.
    std::optional<watch_platform_head> nextWatch(std::uint64_t afterRevision, time_point now);
    // Those of the wanted objects that are to be read now.
    std::vector<read_platform_object> nextReads(std::vector<std::string> const& keys, time_point now);

    void didEndWatch();
    // A watch has shown a change: the next one waits for the pause.
    void didSeeChange(time_point now) { m_nextWatchAt = now + m_settings.watchDelayAfterChange; }
    void didEndRead(std::string const& key) { m_reading.erase(key); }
    void didSucceed();
    enum class failure { Silent, Answered };
    // Backs off. Silent: the platform did not answer at all.
    void didFail(failure, time_point now, generator&);

private:
    bool takeCall(time_point now);

    distribution_settings m_settings;
    retry_back_off m_backOff;
    std::optional<time_point> m_silentSince;
    time_point m_notBefore {};
    // Calls that may be made now; refilled evenly up to a minute's worth.
    double m_calls;
    std::optional<time_point> m_refilledAt;
    // Watches that have not been reported, also those given up for lost.
    unsigned m_openWatches { 0 };
    time_point m_watchStarted {};
    time_point m_nextWatchAt {};
    std::map<std::string, time_point> m_reading;
};

} // namespace merlinpier
