#include <LibTenants/tenant_quotas.h>

#include <LibTenants/tenant_directory.h>
#include <algorithm>
#include <cmath>

namespace merlinpier {

namespace {

// So many daemons may share the whole limit of a tenant that one of them sees for the first time: clients of most
// tenants are on a few VMs.
constexpr double startShares = 5;
// The same after a start, when all daemons may have started together and nobody knows the demand, and the part of the
// bucket that is full then.
constexpr double startFill = 0.25;
constexpr double startSharesAfterStart = 1.2;
constexpr double fillAfterStart = 0.1;
constexpr milliseconds startPeriod { 5000 };
// A demand that has changed by more than these is reported with the next heartbeat.
constexpr double changeFactor = 0.2;
constexpr double smallestChange = 2;
// A step by more than these is reported at once.
constexpr double stepFactor = 0.4;
constexpr double smallestStep = 4;
constexpr double raisedFactor = 1.3;
constexpr milliseconds shortestReportPeriod { 250 };
// Others report the same step a little later, so the sums are asked for again for this time.
constexpr milliseconds askingPeriod { 2000 };
constexpr milliseconds reportPeriod { 1000 };
constexpr milliseconds refreshPeriod { 3000 };
constexpr milliseconds ownExchangePeriod { 250 };
// Lower demand is reported as none.
constexpr double negligibleDemand = 0.15;
// In a heartbeat: those of the greatest demand.
constexpr std::size_t longestReport = 256;
constexpr seconds idleTime { 30 };
constexpr seconds forgetTime { 600 };
constexpr char const* ownEntry = "";

bool hasChanged(double from, double to, double factor, double smallest)
{
    auto const change = std::abs(from - to);
    return change >= smallest && change >= std::max(from, to) * factor;
}

std::uint64_t inMilli(double requests) { return static_cast<std::uint64_t>(std::llround(requests * milliPerRequest)); }

} // namespace

tenant_quotas::tenant_quotas(time_point startedAt)
    : m_startedAt(startedAt)
{
}

void tenant_quotas::setDaemons(std::size_t count, std::size_t known)
{
    m_daemons = std::max<std::size_t>(1, count);
    m_knownDaemons = known;
    for (auto& [hash, state] : m_tenants) {
        if (state.bucket)
            state.bucket->setDaemons(m_daemons);
    }
}

std::optional<duration> tenant_quotas::take(tenant const& holder, time_point now)
{
    auto& state = m_tenants[tenantHash(holder.name)];
    if (state.name.empty())
        state.name = holder.name;
    state.lastRequest = now;
    state.demand.didArrive(now);
    prepareBucket(state, holder, now);
    auto const demand = state.demand.perSecond(now);
    auto const wait = state.bucket ? state.bucket->take(demand, now) : std::nullopt;
    // A bucket in debt may be the first sign of a step that is still too small here to be told from chance, and a
    // request may have been refused because the relay knows of too little demand here.
    bool const isInDebt = state.bucket && state.bucket->tokens() < 0 && demand >= smallestStep;
    if (isInDebt || (wait && demand > raisedFactor * state.reported))
        state.asksUntil = std::max(state.asksUntil, now + shortestReportPeriod);
    ++(wait ? state.limited : state.allowed);
    return wait;
}

void tenant_quotas::prepareBucket(tenant_state& state, tenant const& holder, time_point now)
{
    if (!holder.isLimited()) {
        state.bucket.reset();
        return;
    }
    allotment_limit const limit { static_cast<double>(holder.milliPerSecond) / milliPerRequest,
        static_cast<double>(holder.burstMilli) / milliPerRequest };
    if (!state.bucket) {
        bool const hasJustStarted = now - m_startedAt < startPeriod;
        state.bucket.emplace(limit, m_daemons, hasJustStarted ? startSharesAfterStart : startShares,
            hasJustStarted ? fillAfterStart : startFill, now);
    } else if (state.bucket->limit() != limit) {
        state.bucket->setLimit(limit, now);
    }
}

void tenant_quotas::didNotRun(std::string const& tenantName, time_point now)
{
    auto const found = m_tenants.find(tenantHash(tenantName));
    if (found == m_tenants.end() || !found->second.bucket)
        return;
    found->second.bucket->giveBack(now);
}

void tenant_quotas::expire(time_point now)
{
    std::erase_if(m_tenants, [&](auto const& entry) { return now - entry.second.lastRequest >= forgetTime; });
    for (auto& [hash, state] : m_tenants) {
        // A bucket that has not been used for so long is full; one that is made anew is full as well.
        if (state.bucket && now - state.lastRequest >= idleTime && state.reported == 0)
            state.bucket.reset();
    }
    m_table.expire(now);
}

bool tenant_quotas::isActive() const
{
    return std::any_of(m_tenants.begin(), m_tenants.end(), [](auto const& entry) { return entry.second.bucket; });
}

void tenant_quotas::setRelaying(bool isRelaying, time_point now)
{
    if (isRelaying && !m_isRelaying)
        m_table.clear(now);
    m_isRelaying = isRelaying;
    if (m_isRelaying && now >= m_nextOwnExchange) {
        m_nextOwnExchange = now + ownExchangePeriod;
        exchangeOwn(now);
    }
}

void tenant_quotas::exchangeOwn(time_point now)
{
    auto const sums = m_table.didReport(ownEntry, takeReport(now), now);
    if (canAnswer(now))
        didReceiveSums(sums, now);
}

double tenant_quotas::demandOf(tenant_state& state, time_point now)
{
    auto const demand = state.bucket ? state.demand.perSecond(now) : 0;
    return demand < negligibleDemand ? 0 : demand;
}

bool tenant_quotas::isAsking(tenant_state& state, time_point now) const
{
    if (!state.bucket)
        return false;
    auto const demand = state.demand.perSecond(now);
    if (state.demand.isStepping(now) && hasChanged(state.reported, demand, stepFactor, smallestStep))
        state.asksUntil = now + askingPeriod;
    return now < state.asksUntil;
}

bool tenant_quotas::isReportUrgent(time_point now)
{
    if (now - m_lastReport < shortestReportPeriod)
        return false;
    // Heartbeats to a relay that this daemon has not reported to before may be further apart.
    bool const isRegular = now - m_lastReport >= reportPeriod;
    return std::any_of(m_tenants.begin(), m_tenants.end(), [&](auto& entry) {
        auto& state = entry.second;
        return isAsking(state, now) || (isRegular && isReportDue(state, demandOf(state, now), now));
    });
}

bool tenant_quotas::isReportDue(tenant_state& state, double demand, time_point now) const
{
    if (!state.bucket)
        return state.reported > 0;
    // A relay that has just begun answers nothing yet.
    if (!state.reportedAt || !state.bucket->lastLearned())
        return demand > 0;
    bool const isRefreshDue = demand > 0 && now - *state.reportedAt >= refreshPeriod;
    bool const hasEnded = demand == 0 && state.reported > 0;
    return now < state.asksUntil || isRefreshDue || hasEnded
        || hasChanged(state.reported, demand, changeFactor, smallestChange);
}

std::vector<tenant_demand> tenant_quotas::takeReport(time_point now)
{
    m_lastReport = now;
    std::vector<tenant_demand> report;
    for (auto& [hash, state] : m_tenants) {
        auto const demand = demandOf(state, now);
        if (!isReportDue(state, demand, now))
            continue;
        state.reported = demand;
        state.reportedAt = now;
        report.push_back({ hash, inMilli(demand) });
    }
    if (report.size() > longestReport) {
        std::partial_sort(report.begin(), report.begin() + longestReport, report.end(),
            [](auto const& first, auto const& second) { return first.milliPerSecond > second.milliPerSecond; });
        report.resize(longestReport);
    }
    return report;
}

void tenant_quotas::didReceiveSums(std::vector<tenant_demand> const& sums, time_point now)
{
    for (auto const& sum : sums) {
        auto const found = m_tenants.find(sum.tenant);
        if (found == m_tenants.end() || !found->second.bucket)
            continue;
        auto& state = found->second;
        auto const fleet = static_cast<double>(sum.milliPerSecond) / milliPerRequest;
        auto const before = state.bucket->lastLearned();
        if (hasChanged(before ? before->fleet : 0, fleet, stepFactor, smallestStep) && state.reported >= smallestStep)
            state.asksUntil = now + askingPeriod;
        state.bucket->didLearn({ fleet, state.reported }, now);
    }
}

std::vector<tenant_demand> tenant_quotas::didReceiveReport(
    std::string const& vm, std::vector<tenant_demand> const& report, time_point now)
{
    if (!m_isRelaying)
        return {};
    auto sums = m_table.didReport(vm, report, now);
    return canAnswer(now) ? std::move(sums) : std::vector<tenant_demand> {};
}

bool tenant_quotas::canAnswer(time_point now) const
{
    return m_table.isComplete(now) && m_knownDaemons * 2 >= m_daemons;
}

bool tenant_quotas::isZoneReportDue(std::string const& zone, time_point now)
{
    return m_isRelaying && m_table.isZoneReportDue(zone, now);
}

std::vector<tenant_demand> tenant_quotas::takeZoneReport(std::string const& zone, time_point now)
{
    return m_table.takeZoneReport(zone, now);
}

void tenant_quotas::didReceiveZoneReport(
    std::string const& zone, std::vector<tenant_demand> const& report, time_point now)
{
    if (m_isRelaying)
        m_table.didReportZone(zone, report, now);
}

tenant_use tenant_quotas::useOf(tenant_state& state, time_point now) const
{
    tenant_use use { state.name, state.allowed, state.limited, state.demand.perSecond(now), {}, 0, 0 };
    if (!state.bucket)
        return use;
    if (auto const& learned = state.bucket->lastLearned())
        use.fleetDemand = learned->fleet;
    use.share = state.bucket->share(now);
    use.tokens = state.bucket->tokens();
    return use;
}

std::vector<tenant_use> tenant_quotas::uses(time_point now)
{
    std::vector<tenant_use> uses;
    for (auto& [hash, state] : m_tenants)
        uses.push_back(useOf(state, now));
    std::stable_sort(uses.begin(), uses.end(),
        [](auto const& first, auto const& second) { return first.ownDemand > second.ownDemand; });
    return uses;
}

std::optional<tenant_use> tenant_quotas::use(std::string const& tenantName, time_point now)
{
    auto const found = m_tenants.find(tenantHash(tenantName));
    if (found == m_tenants.end())
        return std::nullopt;
    return useOf(found->second, now);
}

} // namespace merlinpier
