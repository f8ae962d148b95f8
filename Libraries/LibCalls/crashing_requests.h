#pragma once

#include <LibCore/time.h>
#include <LibWire/crash_report.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// What may be done with a request. Clear: runs like any other. Suspect: runs only as a trial, at one target of the
// service and apart from other suspects. Blocked: does not run.
enum class request_standing { Clear, Suspect, Blocked };

struct crashing_requests_settings {
    // The block after the second crash, if one of them was in a trial. It is shorter, since targets also crash for
    // other reasons during a trial; then the request gets another one. After a loss of all daemons, with what they
    // knew, a request crashes two targets again, and no third one within this time.
    milliseconds firstBlock { 60000 };
    // The block after the third crash and each further one.
    milliseconds longBlock { 600000 };
    // A crash that becomes known this soon after the request has ended well here does not count here: several targets
    // may crash at the same time for another reason.
    milliseconds recentGoodEnd { 1000 };
    // How long a crash counts against a request, and how long it is known that a crash does not.
    milliseconds crashRetention { 3600000 };
    milliseconds clearanceRetention { 900000 };
    // The requests that are remembered for their crashes, and the reports that this daemon publishes.
    std::size_t maximumRequests { 2048 };
    std::size_t maximumOwnReports { 64 };
    // The requests that are remembered for having ended well: up to twice as many.
    std::size_t maximumKnownGood { 4096 };
};

// A request changed its standing, or a trial has ended with another crash.
struct standing_change {
    std::uint64_t request { 0 };
    request_standing standing { request_standing::Clear };
    // The crashes that count against the request, and how many of them ended a trial.
    std::size_t crashes { 0 };
    std::size_t testedCrashes { 0 };

    bool operator==(standing_change const&) const = default;
};

// A request that ran at a target when the target crashed.
struct crashed_run {
    std::uint64_t request { 0 };
    bool isTrial { false };

    bool operator==(crashed_run const&) const = default;
};

// Learns which requests crash the targets that run them, from the crashes and the good ends of runs that this daemon
// sees and from reports of others. All requests that were under way at a target that crashed are suspects, except those
// that have lately ended well. A suspect proves itself in a trial: a good end anywhere clears it of all crashes, a
// crash blocks it. Reports only rise and have one meaning whoever repeats them, so daemons agree as soon as they have
// the same reports. Does no I/O and has no clock or random source.
class crashing_requests {
public:
    explicit crashing_requests(crashing_requests_settings = {});

    // A target of this VM crashed while these requests ran there. Only the first report of a crash counts, as it comes
    // with all of its runs.
    void didCrash(std::uint64_t crash, std::vector<crashed_run> const&, time_point now);
    // A run of the request ended with a whole answer of a target, which clears it of all crashes. The daemon of the
    // target publishes that.
    enum class run_place { OwnTarget, OtherVm };
    void didEndWell(std::uint64_t request, run_place, time_point now);
    // Reports of another daemon, or, as Own, of an earlier process of this one, which this one goes on to publish.
    enum class report_origin { Other, Own };
    void learn(std::vector<crash_report> const&, report_origin, time_point now);
    // Drops what is older than its retention.
    void expire(time_point now);

    request_standing standing(std::uint64_t request, time_point now) const;
    // How long the request is still blocked; 0 if it is not.
    duration blockedFor(std::uint64_t request, time_point now) const;
    // The crashes under a request that is not clear, for the daemon that its call is sent to or comes from.
    std::vector<crash_report> reportsAbout(std::uint64_t request) const;
    // What this daemon publishes: the newest reports about its own targets, and the clearances of its own runs.
    std::vector<crash_report> ownReports() const;
    // Rises whenever ownReports() has something new to tell.
    std::uint64_t ownRevision() const { return m_ownRevision; }
    // Changes since the last call, for the log.
    std::vector<standing_change> takeChanges();

    // The requests that are not clear, for operators.
    struct suspect {
        standing_change evidence;
        duration blockedFor { 0 };
    };
    std::vector<suspect> suspects(time_point now) const;
    // Takes every known crash off the request, as an operator asks for. Returns false if there is none.
    bool lift(std::uint64_t request, time_point now);

private:
    struct evidence {
        std::map<std::uint64_t, crash_finding> crashes;
        // When the last crash became known here.
        time_point learnedAt {};
        // When anything became known here.
        time_point changedAt {};

        std::size_t count() const;
        std::size_t countTested() const;
    };

    enum class publication { Publish, KeepHere };
    // Returns whether the report was new.
    bool record(crash_report const&, time_point now);
    void publish(crash_report const&);
    bool clear(std::uint64_t request, publication, time_point now);
    // When the request last ended well; nothing if that is not remembered.
    std::optional<time_point> lastGoodEnd(std::uint64_t request) const;
    bool isKnownGood(std::uint64_t request) const { return lastGoodEnd(request).has_value(); }
    std::optional<time_point> blockedUntil(std::uint64_t request, evidence const&) const;
    void dropOldest();

    crashing_requests_settings m_settings;
    std::map<std::uint64_t, evidence> m_requests;
    // The reports that this daemon publishes, oldest first; their findings are those of m_requests.
    std::vector<crash_report> m_own;
    std::uint64_t m_ownRevision { 0 };
    std::vector<standing_change> m_changes;
    // Requests that ended well lately, and when: when the newer half is full it replaces the older one.
    absl::flat_hash_map<std::uint64_t, time_point> m_knownGood;
    absl::flat_hash_map<std::uint64_t, time_point> m_knownGoodBefore;
    // The newest crashes of targets of this VM.
    std::deque<std::uint64_t> m_ownCrashes;
};

} // namespace merlinpier
