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

// The owner reads the object from the platform and reports the outcome to distributor::didReadPlatform().
struct read_platform_object {
    std::string key;
    bool operator==(read_platform_object const&) const = default;
};
// The owner watches the head for a revision above the given one, for at most the given time, and reports the outcome to
// distributor::didWatchPlatform().
struct watch_platform_head {
    std::uint64_t afterRevision { 0 };
    duration wait { 0 };
    bool operator==(watch_platform_head const&) const = default;
};

// Schedules calls to the platform: within a rate limit (token bucket), with at most one pending watch and one pending
// read per object, and after a failure not before a jittered back-off has passed.
class platform_calls {
public:
    explicit platform_calls(distribution_settings const&);

    // When the platform stopped answering; nothing while it answers.
    std::optional<time_point> silentSince() const { return m_silentSince; }
    // This daemon no longer watches the platform, so silentSince() no longer reports an outage.
    void didStopWatching() { m_silentSince.reset(); }

    // Starts a watch if one is due and allowed.
    std::optional<watch_platform_head> nextWatch(std::uint64_t afterRevision, time_point now);
    // Starts reads of those objects that are not being read yet, as far as the rate limit allows.
    std::vector<read_platform_object> nextReads(std::vector<std::string> const& keys, time_point now);

    void didEndWatch();
    // A watch has reported a change: the next one is delayed by watchDelayAfterChange.
    void didObserveChange(time_point now) { m_nextWatchAt = now + m_settings.watchDelayAfterChange; }
    void didEndRead(std::string const& key) { m_pendingReads.erase(key); }
    void didSucceed();
    enum class failure { Unanswered, Answered };
    // Starts a back-off. Unanswered: the platform did not answer at all. Answered: it answered with an error or with
    // unusable content.
    void didFail(failure, time_point now, generator&);

private:
    bool takeCallToken(time_point now);

    distribution_settings m_settings;
    retry_back_off m_backOff;
    std::optional<time_point> m_silentSince;
    time_point m_retryAt {};
    // Token bucket: calls that may be made now. Refilled continuously, up to the calls of one minute.
    double m_callTokens;
    std::optional<time_point> m_refilledAt;
    // Watches without a reported outcome, including those considered lost.
    unsigned m_openWatches { 0 };
    time_point m_watchStartedAt {};
    time_point m_nextWatchAt {};
    std::map<std::string, time_point> m_pendingReads;
};

} // namespace merlinpier
