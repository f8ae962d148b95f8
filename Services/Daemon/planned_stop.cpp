#include "planned_stop.h"

#include <LibCore/log.h>
#include <utility>

namespace merlinpier {

namespace {

constexpr milliseconds pollPeriod { 20 };
constexpr milliseconds logPeriod { 1000 };

} // namespace

planned_stop::planned_stop(
    daemon& stopped, discovery& entries, loop_http_server& callers, late_connections late, std::function<void()> didEnd)
    : m_daemon(stopped)
    , m_discovery(entries)
    , m_callers(callers)
    , m_didEnd(std::move(didEnd))
{
    m_callers.startLeaving();
    m_discovery.prepareToEnd();
    // By then callers know of the stop; a connection that is refused is made again elsewhere, whereas one that is taken
    // in the last moment might be cut.
    if (late == late_connections::Refused)
        m_noticeTimer
            = m_daemon.loop().subscribeOnce(m_daemon.settings().leaveNotice, [this] { m_callers.stopAccepting(); });
    m_daemon.drain([this] { endWhenDone(); });
}

void planned_stop::endWhenDone()
{
    bool const isOver = currentTime() - m_began >= m_daemon.settings().drainTimeout;
    bool const isDone = !m_callers.hasUnfinishedWork() && !m_discovery.hasUnstoredDepartures();
    if (isDone || isOver) {
        if (isOver)
            logWhatIsLeft();
        m_didEnd();
        return;
    }
    if (currentTime() >= m_nextLog) {
        m_nextLog = currentTime() + logPeriod;
        logWhatIsLeft();
    }
    m_pollTimer = m_daemon.loop().subscribeOnce(pollPeriod, [this] { endWhenDone(); });
}

void planned_stop::logWhatIsLeft()
{
    auto const unfinished = m_callers.unfinishedWork();
    bool const isStoring = m_discovery.hasUnstoredDepartures();
    if (unfinished == unfinished_work {} && !isStoring)
        return;
    logInfo("drain_waiting",
        { { "after_ms", toMilliseconds(currentTime() - m_began) },
            { "connections", static_cast<std::uint64_t>(unfinished.connections) },
            { "unanswered", static_cast<std::uint64_t>(unfinished.requests) },
            { "unsent_bytes", static_cast<std::uint64_t>(unfinished.unsentBytes) },
            { "departures", isStoring ? "not stored" : "stored" } });
}

} // namespace merlinpier
