#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace merlinpier {

// Remembers which attempt numbers of one first daemon were seen, in bounded memory, as the anti-replay window of IPsec
// does with sequence numbers (RFC 4303, section 3.4.3): numbers below the window count as seen.
class replay_window {
public:
    enum class verdict { New, SeenNotRun, Seen, BelowWindow };

    explicit replay_window(std::size_t capacity = 512);

    verdict classify(std::uint64_t number) const;
    // Records a number, so that no frame that carries it is admitted any more.
    void add(std::uint64_t number);
    // Records further that the attempt was not run and never will be.
    void markNotRun(std::uint64_t number);

private:
    struct seen_number {
        std::uint64_t number { 0 };
        bool isNotRun { false };
    };

    std::size_t m_capacity;
    std::uint64_t m_floor { 0 };
    // In rising order.
    std::vector<seen_number> m_seen;
};

} // namespace merlinpier
