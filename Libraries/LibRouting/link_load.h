#pragma once

#include <LibCore/time.h>
#include <cstddef>
#include <cstdint>

namespace merlinpier {

// The link of one VM as a server of bytes: its speed, and the bytes that are to pass it. An answer's bytes count from
// when its call is sent or admitted, by the size that is expected of it.
class link_load {
public:
    // 0 if the speed is not known: then the link is taken to be never short.
    explicit link_load(std::uint32_t mbps = 0)
        : m_mbps(mbps)
    {
    }

    void didBegin(std::size_t bytes) { m_bytes += bytes; }
    void didEnd(std::size_t bytes) { m_bytes -= bytes < m_bytes ? bytes : m_bytes; }
    std::size_t bytesUnderWay() const { return m_bytes; }
    // Time until so many more bytes have passed the link, behind those under way.
    duration timeToPass(std::size_t bytes) const;

    // Time that the bytes take on an idle link of that speed; zero if the speed is not known.
    static duration transferTime(std::uint32_t mbps, std::size_t bytes);

private:
    std::uint32_t m_mbps;
    std::size_t m_bytes { 0 };
};

} // namespace merlinpier
