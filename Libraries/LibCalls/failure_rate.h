#pragma once

#include <cstdint>

namespace merlinpier {

// The share of a target's recent runs that failed, as an exponentially weighted moving average.
class failure_rate {
public:
    enum class run_result { Succeeded, Failed };
    void add(run_result);
    std::uint32_t permille() const { return static_cast<std::uint32_t>(m_share * 1000); }

private:
    double m_share { 0 };
};

} // namespace merlinpier
