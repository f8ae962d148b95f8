#include <Utilities/Load/load_runner.h>

#include <absl/strings/numbers.h>
#include <absl/time/time.h>
#include <sys/prctl.h>
#include <thread>

namespace merlinpier {

namespace {

constexpr std::uint64_t directSeedOffset = 1'000'003;
// The kernel may otherwise start a call up to 50 us late.
constexpr unsigned long timerSlackNanoseconds = 1;

unsigned attemptsOf(result<http_response> const& outcome)
{
    unsigned attempts = 0;
    if (outcome.isError())
        return 0;
    auto const text = outcome.value().header("Merlinpier-Attempts");
    return text && absl::SimpleAtoi(*text, &attempts) ? attempts : 0;
}

} // namespace

load_runner::load_runner(load_plan plan, call_planner planner)
    : m_plan(std::move(plan))
    , m_planner(std::move(planner))
    , m_daemonArrivals(m_plan.rate, m_plan.length, m_plan.spread, m_plan.seed)
    , m_directArrivals(m_plan.directRate, m_plan.length, m_plan.spread, m_plan.seed + directSeedOffset)
{
    for (unsigned i = 0; i < m_plan.clients; ++i)
        m_clients.push_back(http_client::create());
    if (!m_plan.daemons.empty())
        m_nextThroughDaemon = m_daemonArrivals.next();
    if (!m_plan.directTargets.empty())
        m_nextDirect = m_directArrivals.next();
}

std::vector<call_record> load_runner::run()
{
    prctl(PR_SET_TIMERSLACK, timerSlackNanoseconds);
    m_startedAt = currentTime();
    while (auto const arrival = takeNextArrival()) {
        // Prepared before the intended start, so that the preparation does not count as latency.
        auto call = m_planner.next(arrival->route);
        std::this_thread::sleep_until(m_startedAt + arrival->at);
        start(std::move(call), arrival->at);
    }
    waitUntilAllEnded();
    mutex_lock lock(m_mutex);
    return std::move(m_records);
}

std::optional<load_runner::next_arrival> load_runner::takeNextArrival()
{
    if (!m_nextThroughDaemon && !m_nextDirect)
        return std::nullopt;
    bool const isDirect = !m_nextThroughDaemon || (m_nextDirect && *m_nextDirect < *m_nextThroughDaemon);
    auto& next = isDirect ? m_nextDirect : m_nextThroughDaemon;
    next_arrival const arrival { *next, isDirect ? call_route::Direct : call_route::ThroughDaemon };
    next = isDirect ? m_directArrivals.next() : m_daemonArrivals.next();
    return arrival;
}

std::string const& load_runner::nextAddress(call_route route)
{
    if (route == call_route::Direct)
        return m_plan.directTargets.at(m_directTargetsUsed++ % m_plan.directTargets.size());
    return m_plan.daemons.at(m_daemonsUsed++ % m_plan.daemons.size());
}

void load_runner::start(planned_call call, duration at)
{
    auto request = makeRequest(call, nextAddress(call.route));
    auto& client = *m_clients.at(m_sent++ % m_clients.size());
    client.send(std::move(request),
        [this, call = std::move(call), at](result<http_response> const& outcome) { didEnd(call, at, outcome); });
}

void load_runner::didEnd(planned_call const& call, duration at, result<http_response> const& outcome)
{
    auto const latency = currentTime() - m_startedAt - at;
    auto const judged = judgeAnswer(call, outcome);
    m_answered += judged == caller_outcome::Answered ? 1 : 0;
    mutex_lock lock(m_mutex);
    m_records.push_back({ call.requestId, call.route, call.entry.callClass, call.entry.isIdempotent, judged, at,
        latency, attemptsOf(outcome) });
    m_changed.notifyAll();
}

void load_runner::waitUntilAllEnded()
{
    mutex_lock lock(m_mutex);
    while (m_records.size() < m_sent)
        m_changed.waitFor(m_mutex, absl::Seconds(1));
}

load_progress load_runner::progress() const
{
    mutex_lock lock(m_mutex);
    return { m_sent, m_records.size(), m_answered };
}

} // namespace merlinpier
