#pragma once

#include <LibRouting/retry_allowance.h>
#include <cstdint>

namespace merlinpier {

// Limits the retries of one service to a share of its calls with a token bucket: each call adds a fraction of a token,
// each retry takes one token. The scheme is that of Finagle's RetryBudget and of gRPC's retry throttling (gRFC A6).
class retry_budget final : public retry_allowance {
public:
    // The share is in retries per thousand calls. The floor, in retries per second, is available to a service however
    // few calls it gets.
    explicit retry_budget(std::uint32_t sharePermille, std::uint32_t floorPerSecond = 1);

    // ^retry_allowance
    void didStartCall(time_point now) override;
    bool tryTake(time_point now) override;
    bool isHalfLeft(time_point now) const override;
    // Tokens that the budget holds now; one retry needs a whole token.
    double available(time_point now) const;
    // Applies the share of a new configuration to later calls; the balance stays.
    void setShare(std::uint32_t sharePermille) { m_sharePermille = sharePermille; }

private:
    // Adds the tokens of the floor for the time since the last accrual.
    void accrue(time_point now);

    std::uint32_t m_sharePermille;
    std::uint32_t m_floorPerSecond;
    double m_balance { 0 };
    time_point m_lastAccrual {};
};

} // namespace merlinpier
