#pragma once

#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// When to try to join, and by which seed: one after the other, with full jitter (Brooker, "Exponential backoff and
// jitter", 2015) between attempts, so that daemons started together do not try together.
class join_schedule {
public:
    // Addresses to join by; the own one and repeats are left out.
    join_schedule(std::string ownAddress, std::vector<std::string> const& seeds);

    void addSeeds(std::vector<std::string> const&);
    bool hasSeeds() const { return !m_seeds.empty(); }
    std::vector<std::string> const& seeds() const { return m_seeds; }

    // The seed to try now, while out of contact.
    std::optional<std::string> nextAttempt(time_point now, generator&);
    // Now in contact: starts afresh the next time that contact is lost.
    void didJoin();
    // Whether it is time, while in contact, to look for members that grew apart; true once in a period.
    bool isUnknownSeedDue(time_point now, generator&);
    // The first seed in turn that is not among the known addresses.
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
