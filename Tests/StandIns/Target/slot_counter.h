#pragma once

#include <atomic>
#include <cstdint>

namespace merlinpier {

// Counts the slots of a target that are taken. Any thread may call.
class slot_counter {
public:
    explicit slot_counter(std::uint32_t slots)
        : m_slots(slots)
    {
    }

    bool tryTake()
    {
        if (m_taken.fetch_add(1) < m_slots)
            return true;
        m_taken.fetch_sub(1);
        return false;
    }
    void release() { m_taken.fetch_sub(1); }
    std::uint32_t taken() const { return m_taken; }
    std::uint32_t slots() const { return m_slots; }

private:
    std::uint32_t const m_slots;
    std::atomic<std::uint32_t> m_taken { 0 };
};

} // namespace merlinpier
