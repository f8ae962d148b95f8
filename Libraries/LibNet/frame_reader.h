#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// The length prefix of a frame: a little-endian number of this many bytes.
inline constexpr std::size_t framePrefixBytes = 4;

// Returns the prefix for a frame of the given size.
std::string framePrefix(std::size_t frameBytes);

// Cuts a stream of bytes into frames.
class frame_reader {
public:
    explicit frame_reader(std::size_t maximumFrameBytes)
        : m_maximumFrameBytes(maximumFrameBytes)
    {
    }

    void append(char const* bytes, std::size_t count);
    // Returns the next whole frame, if there is one.
    std::optional<std::string> next();
    // Whether a prefix announced more than is allowed. The stream is of no use from there on.
    bool isOversized() const { return m_isOversized; }

private:
    std::size_t waiting() const { return m_buffer.size() - m_read; }
    std::size_t announcedBytes() const;
    void reserveForFrame();

    std::size_t m_maximumFrameBytes;
    std::string m_buffer;
    // How much of the buffer was handed out.
    std::size_t m_read { 0 };
    bool m_isOversized { false };
};

} // namespace merlinpier
