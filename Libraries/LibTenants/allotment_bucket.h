#pragma once

#include <LibCore/time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace merlinpier {

// A tenant's limit over all daemons together, in requests.
struct allotment_limit {
    double perSecond { 0 };
    double burst { 0 };

    bool operator==(allotment_limit const&) const = default;
};

// What a daemon knows of the demand for one tenant's requests, in requests a second.
struct demand_share {
    // Of all daemons together.
    double fleet { 0 };
    // This daemon's part of it.
    double own { 0 };

    bool operator==(demand_share const&) const = default;
};

// One daemon's part of one tenant's limit: a token bucket whose rate and size are the daemon's share of the demand, and
// a count of the last window. The bucket shapes the rate; the count keeps what was allowed while the share was wrong
// from being allowed again. While the demand of all daemons is known to be below the limit, requests pass an empty
// bucket too, and it owes them: small shares would otherwise refuse requests for chance alone.
class allotment_bucket {
public:
    // The fill is the part of the bucket that is full at first.
    allotment_bucket(allotment_limit, std::size_t daemons, double startShares, double fill, time_point now);

    // Keeps the fill, cut to the new size, and counts the window anew: a lower limit binds from now on.
    void setLimit(allotment_limit, time_point now);
    void setDaemons(std::size_t count) { m_daemons = count; }
    void didLearn(demand_share const&, time_point now);

    // Takes a token for a request. Otherwise returns the time until the next one is due. ownDemand is the present rate
    // of requests here.
    std::optional<duration> take(double ownDemand, time_point now);
    // A request that took a token has not run.
    void giveBack(time_point now);

    allotment_limit const& limit() const { return m_limit; }
    // The part of the limit that this daemon may use.
    double share(time_point now) const;
    double tokens() const { return m_tokens; }
    std::optional<demand_share> const& lastLearned() const { return m_learned; }

private:
    static constexpr std::size_t slotCount = 21;

    double size(time_point now) const;
    double rate(time_point now) const;
    double debt(time_point now) const;
    bool isFresh(time_point now) const;
    bool isBelowLimit(double ownDemand, time_point now) const;
    bool isWindowFull(time_point now) const;
    void advance(time_point now);

    allotment_limit m_limit;
    std::size_t m_daemons;
    // With no sum known: this many daemons may share the whole limit.
    double m_startShares;
    double m_tokens;
    time_point m_advancedTo;
    std::optional<demand_share> m_learned;
    time_point m_learnedAt {};
    double m_windowShare { 0 };
    // Requests allowed in each quarter of a second, the latest in m_slots[m_slot % slotCount].
    std::array<std::uint32_t, slotCount> m_slots {};
    std::int64_t m_slot { 0 };
};

} // namespace merlinpier
