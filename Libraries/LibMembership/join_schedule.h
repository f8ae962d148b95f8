#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// Decides when to try to join, and through which seed: round robin, with exponential backoff and full jitter (Brooker,
// "Exponential backoff and jitter", 2015) between attempts, so that daemons started together do not try at the same
// time.
class join_schedule {
public:
    // The own address and duplicates among the seeds are ignored.
    join_schedule(std::string ownAddress, std::vector<std::string> const& seeds);

    void addSeeds(std::vector<std::string> const&);
    bool hasSeeds() const { return !m_seeds.empty(); }
    std::vector<std::string> const& seeds() const { return m_seeds; }

    // To be called while out of contact. Returns the seed to try now, or nullopt if no attempt is due.
    std::optional<std::string> nextAttempt(time_point now, generator&);
    // To be called while in contact. Resets the backoff for the next time that contact is lost.
    void didJoin();
    // Whether it is time, while in contact, to try a seed that is not a known member, in order to merge groups of
    // members that formed separately. True once per period.
    bool isUnknownSeedDue(time_point now, generator&);
    // The next seed in round-robin order that is not among the known addresses; nullopt if there is none.
    std::optional<std::string> nextUnknownSeed(std::vector<std::string> const& known);

private:
    std::string m_ownAddress;
    std::vector<std::string> m_seeds;
    std::size_t m_nextSeed { 0 };
    unsigned m_attempts { 0 };
    std::optional<time_point> m_nextAttemptTime;
    std::optional<time_point> m_nextUnknownSeedTime;
};

} // namespace merlinpier
