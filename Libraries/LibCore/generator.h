#pragma once

#include <cstdint>
#include <random>

namespace merlinpier {

// The source of randomness handed to decisions. Tests seed it; processes seed it from std::random_device.
using generator = std::mt19937_64;

// Returns an evenly distributed number in [0, bound); bound must be above zero.
inline std::uint64_t uniformBelow(generator& source, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(source);
}

// Returns an evenly distributed number in [0, 1).
inline double uniformUnit(generator& source) { return std::uniform_real_distribution<double>(0, 1)(source); }

} // namespace merlinpier
