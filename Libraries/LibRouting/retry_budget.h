#pragma once

#include <LibCore/time.h>
#include <cstdint>

namespace merlinpier {

// Bounds the retries of one service to a share of its calls: each call adds to the budget, each retry takes one whole
// unit from it.
class retry_budget {
public:
    // The share in thousandths of calls; the floor is what a quiet service may always spend, in retries a second.
    explicit retry_budget(std::uint32_t sharePermille, std::uint32_t floorPerSecond = 1);

    void didStartCall(time_point now);
    // Takes one retry from the budget; false if it does not hold one.
    bool tryTake(time_point now);
    double available(time_point now) const;

private:
    std::uint32_t m_sharePermille;
    std::uint32_t m_floorPerSecond;
    double m_balance { 0 };
    time_point m_last {};
};

} // namespace merlinpier
