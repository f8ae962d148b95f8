#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace merlinpier {

// Records which attempt numbers of one originating daemon were seen, in bounded memory. As in the anti-replay window of
// IPsec (RFC 4303, section 3.4.3), numbers below the window are never classified as new.
class replay_window {
public:
    enum class verdict { New, SeenNotRun, Seen, BelowWindow };

    explicit replay_window(std::size_t capacity = 512);

    verdict classify(std::uint64_t number) const;
    // Records a number, so that no further frame with this number is admitted.
    void add(std::uint64_t number);
    // Records a number and that its attempt was not run and never will be.
    void markNotRun(std::uint64_t number);

private:
    struct seen_number {
        std::uint64_t number { 0 };
        bool isNotRun { false };
    };

    std::size_t m_capacity;
    std::uint64_t m_floor { 0 };
    // In ascending order.
    std::vector<seen_number> m_seen;
};

} // namespace merlinpier
