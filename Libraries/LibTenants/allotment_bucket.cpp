#include <LibTenants/allotment_bucket.h>

#include <algorithm>

namespace merlinpier {

namespace {

// The operators' rule: in any 5 s, a tenant gets at most (rate x 5 + burst) x 1.1 + 20 requests over all daemons. The
// bucket gives a little more than the limit, so that errors in the shares refuse nothing below it; the window keeps a
// distance from the rule.
constexpr double windowSeconds = 5;
constexpr double ruleFactor = 1.1;
constexpr double ruleSlack = 20;
constexpr double windowFactor = 0.9;
// The window must not hold back a tenant without a burst that uses its rate.
constexpr double windowOfRate = 5.3;
constexpr double windowRounding = 0.4;
constexpr double rateFactor = 1.03;
constexpr double rateSlack = 1;
constexpr double sizeOfRate = 0.25;
constexpr double sizeSlack = 5;
// A bucket holds at least this, whatever its share.
constexpr double smallestSize = 2;
// What an empty bucket may owe while the demand is known to be below the limit: a share of a part of a second and of
// the rule's slack, and enough for the chance clusters of a daemon that sees few requests.
constexpr double debtOfRate = 0.6;
constexpr double debtSlack = 25;
constexpr double smallestDebt = 4;
// How far the share of the window follows a higher or lower share. Shares change by chance, and a daemon that used each
// of its highest ones would let the fleet exceed the rule.
constexpr double windowRise = 0.3;
constexpr double windowFall = 0.6;
// The demand below which nothing is refused, as a part of the limit, and with the rule's slack for small limits.
constexpr double calmFactor = 0.95;
constexpr double calmSlack = 3;
constexpr double usedUpFactor = 1.6;
// A sum counts for this long: longer than a relay that takes over needs to have one.
constexpr milliseconds sumValidity { 8000 };
constexpr milliseconds slotLength { 250 };
constexpr milliseconds shortestWait { 20 };
constexpr milliseconds longestWait { 2000 };
constexpr milliseconds windowWait { 250 };

std::int64_t slotOf(time_point now) { return now.time_since_epoch() / duration(slotLength); }

} // namespace

allotment_bucket::allotment_bucket(
    allotment_limit limit, std::size_t daemons, double startShares, double fill, time_point now)
    : m_limit(limit)
    , m_daemons(daemons)
    , m_startShares(startShares)
    , m_tokens(0)
    , m_advancedTo(now)
    , m_slot(slotOf(now))
{
    // Where many daemons see a small tenant for the first time, what each has at first must not add up to its limit.
    auto const together = (ruleSlack + limit.burst) / static_cast<double>(std::max<std::size_t>(1, daemons));
    m_tokens = std::max(std::min(smallestSize, 1 + together), size(now) * fill);
}

void allotment_bucket::setLimit(allotment_limit limit, time_point now)
{
    advance(now);
    m_limit = limit;
    m_tokens = std::min(m_tokens, size(now));
    m_slots.fill(0);
}

void allotment_bucket::didLearn(demand_share const& learned, time_point now)
{
    advance(now);
    bool const isFirst = !isFresh(now);
    m_learned = demand_share { std::max(learned.fleet, learned.own), learned.own };
    m_learnedAt = now;
    auto const current = share(now);
    if (isFirst)
        m_windowShare = current;
    m_windowShare += (current - m_windowShare) * (current > m_windowShare ? windowRise : windowFall);
    // Below the limit, a share that falls for chance must not cost the daemon its tokens.
    if (learned.fleet >= m_limit.perSecond)
        m_tokens = std::min(m_tokens, size(now));
    // The daemons that have used the tenant's limit up have left nothing of its burst. Clients that have just moved
    // here may still be counted elsewhere, too, so a little more than the limit does not show that.
    if (isFirst && learned.fleet >= usedUpFactor * m_limit.perSecond)
        m_tokens = std::min(m_tokens, 0.0);
}

std::optional<duration> allotment_bucket::take(double ownDemand, time_point now)
{
    advance(now);
    bool const isCalm = isBelowLimit(ownDemand, now);
    bool const isWithinDebt = isCalm && m_tokens > -debt(now);
    bool const isAllowed = (m_tokens >= 1 && (isCalm || !isWindowFull(now))) || isWithinDebt;
    if (isAllowed) {
        m_tokens -= 1;
        ++m_slots[static_cast<std::size_t>(m_slot) % slotCount];
        return std::nullopt;
    }
    if (m_tokens >= 1)
        return windowWait;
    auto const given = std::max(rate(now), 0.001);
    // At demand far above the rate, the next token will be taken by another request.
    auto const wait = (1 - m_tokens) / given * std::max(1.0, ownDemand / given);
    auto const bounded = std::clamp(
        wait, std::chrono::duration<double>(shortestWait).count(), std::chrono::duration<double>(longestWait).count());
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(bounded));
}

void allotment_bucket::giveBack(time_point now)
{
    advance(now);
    m_tokens = std::min(m_tokens + 1, size(now));
    auto& slot = m_slots[static_cast<std::size_t>(m_slot) % slotCount];
    slot -= slot > 0 ? 1 : 0;
}

bool allotment_bucket::isFresh(time_point now) const { return m_learned && now - m_learnedAt < sumValidity; }

double allotment_bucket::share(time_point now) const
{
    auto const daemons = static_cast<double>(std::max<std::size_t>(1, m_daemons));
    if (!m_learned)
        return std::min(1.0, m_startShares / daemons);
    // A daemon that has been cut off from its relays cannot know who else serves the tenant now.
    if (!isFresh(now))
        return 1 / daemons;
    return m_learned->fleet > 0 ? m_learned->own / m_learned->fleet : 0;
}

double allotment_bucket::size(time_point now) const
{
    return std::max(
        smallestSize, share(now) * (m_limit.burst + sizeOfRate * m_limit.perSecond + sizeSlack) + smallestSize);
}

double allotment_bucket::rate(time_point now) const
{
    return share(now) * (rateFactor * m_limit.perSecond + rateSlack);
}

double allotment_bucket::debt(time_point now) const
{
    return share(now) * (debtOfRate * m_limit.perSecond + debtSlack) + smallestDebt;
}

bool allotment_bucket::isBelowLimit(double ownDemand, time_point now) const
{
    if (!isFresh(now))
        return false;
    auto const others = std::max(0.0, m_learned->fleet - m_learned->own);
    return others + ownDemand < calmFactor * m_limit.perSecond + calmSlack;
}

bool allotment_bucket::isWindowFull(time_point now) const
{
    if (!isFresh(now))
        return false;
    std::uint64_t allowed = 0;
    for (auto const count : m_slots)
        allowed += count;
    auto const rule = (m_limit.perSecond * windowSeconds + m_limit.burst) * ruleFactor + ruleSlack;
    auto const bound = std::max(rule * windowFactor, m_limit.perSecond * windowOfRate);
    return static_cast<double>(allowed) >= m_windowShare * bound + windowRounding;
}

void allotment_bucket::advance(time_point now)
{
    if (now > m_advancedTo) {
        auto const spent = std::chrono::duration<double>(now - m_advancedTo).count();
        m_advancedTo = now;
        m_tokens = std::min(m_tokens + spent * rate(now), std::max(m_tokens, size(now)));
    }
    auto const slot = slotOf(now);
    for (auto cleared = std::max(m_slot + 1, slot - static_cast<std::int64_t>(slotCount) + 1); cleared <= slot;
         ++cleared)
        m_slots[static_cast<std::size_t>(cleared) % slotCount] = 0;
    m_slot = std::max(m_slot, slot);
}

} // namespace merlinpier
