#include <LibCalls/crashing_requests.h>

#include <algorithm>
#include <utility>

namespace merlinpier {

namespace {

constexpr std::size_t crashesForBlock = 2;
constexpr std::size_t crashesForLongBlock = 3;
// Reports of one request that are kept or taken from one message.
constexpr std::size_t maximumCrashesOfRequest = 16;
constexpr std::size_t maximumOwnCrashes = 16;

} // namespace

crashing_requests::crashing_requests(crashing_requests_settings settings)
    : m_settings(settings)
{
}

std::size_t crashing_requests::evidence::count() const
{
    return std::count_if(
        crashes.begin(), crashes.end(), [](auto const& crash) { return crash.second != crash_finding::Cleared; });
}

std::size_t crashing_requests::evidence::countTested() const
{
    return std::count_if(
        crashes.begin(), crashes.end(), [](auto const& crash) { return crash.second == crash_finding::Tested; });
}

void crashing_requests::didCrash(std::uint64_t crash, std::vector<crashed_run> const& runs, time_point now)
{
    if (std::find(m_ownCrashes.begin(), m_ownCrashes.end(), crash) != m_ownCrashes.end())
        return;
    m_ownCrashes.push_back(crash);
    if (m_ownCrashes.size() > maximumOwnCrashes)
        m_ownCrashes.pop_front();
    // A request that has ended well lately is not blamed while another one was under way that has not.
    bool const hasUnknown
        = std::any_of(runs.begin(), runs.end(), [&](auto const& run) { return !isKnownGood(run.request); });
    for (auto const& run : runs) {
        bool const isBlamed = run.isTrial || !hasUnknown || !isKnownGood(run.request);
        // A request that crashes a target after all has to end well again before it is trusted.
        m_knownGood.erase(run.request);
        m_knownGoodBefore.erase(run.request);
        if (!isBlamed)
            continue;
        crash_report const report { run.request, crash,
            run.isTrial ? crash_finding::Tested : crash_finding::Suspected };
        if (record(report, now))
            publish(report);
    }
}

void crashing_requests::didEndWell(std::uint64_t request, run_place place, time_point now)
{
    if (m_knownGood.size() >= m_settings.maximumKnownGood && !m_knownGood.contains(request))
        m_knownGoodBefore = std::exchange(m_knownGood, {});
    m_knownGood[request] = now;
    clear(request, place == run_place::OwnTarget ? publication::Publish : publication::KeepHere, now);
}

bool crashing_requests::lift(std::uint64_t request, time_point now)
{
    return clear(request, publication::Publish, now);
}

bool crashing_requests::clear(std::uint64_t request, publication mode, time_point now)
{
    auto const found = m_requests.find(request);
    if (found == m_requests.end() || found->second.count() == 0)
        return false;
    auto const known = found->second.crashes;
    for (auto const& [crash, finding] : known) {
        crash_report const report { request, crash, crash_finding::Cleared };
        if (record(report, now) && mode == publication::Publish)
            publish(report);
    }
    return true;
}

void crashing_requests::learn(std::vector<crash_report> const& reports, report_origin origin, time_point now)
{
    for (auto const& report : reports) {
        if (!record(report, now))
            continue;
        if (origin == report_origin::Own)
            publish(report);
        auto const goodEnd = lastGoodEnd(report.request);
        if (goodEnd && now - *goodEnd <= m_settings.recentGoodEnd)
            clear(report.request, publication::KeepHere, now);
    }
}

bool crashing_requests::record(crash_report const& report, time_point now)
{
    auto& known = m_requests[report.request];
    bool const isNewCrash = !known.crashes.contains(report.crash);
    if (isNewCrash && known.crashes.size() >= maximumCrashesOfRequest)
        known.crashes.erase(known.crashes.begin());
    auto& finding = known.crashes[report.crash];
    if (!isNewCrash && finding >= report.finding)
        return false;
    auto const before = std::pair(known.count(), known.countTested());
    finding = std::max(finding, report.finding);
    known.changedAt = now;
    auto const after = std::pair(known.count(), known.countTested());
    if (isNewCrash && report.finding != crash_finding::Cleared)
        known.learnedAt = now;
    bool const isPublished = std::any_of(m_own.begin(), m_own.end(),
        [&](auto const& own) { return own.request == report.request && own.crash == report.crash; });
    if (isPublished)
        ++m_ownRevision;
    if (after != before || isNewCrash)
        m_changes.push_back({ report.request, standing(report.request, now), after.first, after.second });
    dropOldest();
    return true;
}

void crashing_requests::publish(crash_report const& report)
{
    std::erase_if(
        m_own, [&](auto const& other) { return other.request == report.request && other.crash == report.crash; });
    m_own.push_back(report);
    if (m_own.size() > m_settings.maximumOwnReports)
        m_own.erase(m_own.begin());
    ++m_ownRevision;
}

void crashing_requests::dropOldest()
{
    if (m_requests.size() <= m_settings.maximumRequests)
        return;
    // Requests that are clear go first.
    auto const oldest
        = std::min_element(m_requests.begin(), m_requests.end(), [](auto const& first, auto const& second) {
              return std::pair(first.second.count(), first.second.changedAt)
                  < std::pair(second.second.count(), second.second.changedAt);
          });
    m_requests.erase(oldest);
}

void crashing_requests::expire(time_point now)
{
    std::erase_if(m_requests, [&](auto const& entry) {
        auto const& known = entry.second;
        auto const retention = known.count() == 0 ? m_settings.clearanceRetention : m_settings.crashRetention;
        return now - known.changedAt > retention;
    });
    auto const before = m_own.size();
    std::erase_if(m_own, [&](auto const& report) { return !m_requests.contains(report.request); });
    if (m_own.size() != before)
        ++m_ownRevision;
}

std::optional<time_point> crashing_requests::lastGoodEnd(std::uint64_t request) const
{
    for (auto const* ends : { &m_knownGood, &m_knownGoodBefore }) {
        if (auto const found = ends->find(request); found != ends->end())
            return found->second;
    }
    return std::nullopt;
}

std::optional<time_point> crashing_requests::blockedUntil(std::uint64_t request, evidence const& known) const
{
    // Against a request that has ended well, only crashes in trials count, and one more of them.
    auto const tested = known.countTested();
    auto const crashes = isKnownGood(request) ? tested : known.count();
    if (crashes < crashesForBlock || tested == 0)
        return std::nullopt;
    bool const isLong = crashes >= crashesForLongBlock;
    return known.learnedAt + (isLong ? m_settings.longBlock : m_settings.firstBlock);
}

request_standing crashing_requests::standing(std::uint64_t request, time_point now) const
{
    auto const found = m_requests.find(request);
    if (found == m_requests.end() || found->second.count() == 0)
        return request_standing::Clear;
    auto const until = blockedUntil(request, found->second);
    return until && now < *until ? request_standing::Blocked : request_standing::Suspect;
}

duration crashing_requests::blockedFor(std::uint64_t request, time_point now) const
{
    auto const found = m_requests.find(request);
    auto const until = found == m_requests.end() ? std::nullopt : blockedUntil(request, found->second);
    return until ? std::max(duration::zero(), *until - now) : duration::zero();
}

std::vector<crash_report> crashing_requests::reportsAbout(std::uint64_t request) const
{
    std::vector<crash_report> reports;
    auto const found = m_requests.find(request);
    if (found == m_requests.end() || found->second.count() == 0)
        return reports;
    for (auto const& [crash, finding] : found->second.crashes)
        reports.push_back({ request, crash, finding });
    return reports;
}

std::vector<crash_report> crashing_requests::ownReports() const
{
    auto reports = m_own;
    for (auto& report : reports) {
        auto const known = m_requests.find(report.request);
        if (known == m_requests.end())
            continue;
        auto const crash = known->second.crashes.find(report.crash);
        if (crash != known->second.crashes.end())
            report.finding = crash->second;
    }
    return reports;
}

std::vector<standing_change> crashing_requests::takeChanges() { return std::exchange(m_changes, {}); }

std::vector<crashing_requests::suspect> crashing_requests::suspects(time_point now) const
{
    std::vector<suspect> found;
    for (auto const& [request, known] : m_requests) {
        auto const standingNow = standing(request, now);
        if (standingNow != request_standing::Clear)
            found.push_back({ { request, standingNow, known.count(), known.countTested() }, blockedFor(request, now) });
    }
    return found;
}

} // namespace merlinpier
