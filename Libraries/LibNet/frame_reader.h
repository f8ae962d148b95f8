#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace merlinpier {

// The length prefix of a frame: a little-endian number of this many bytes.
inline constexpr std::size_t framePrefixBytes = 4;

// Set in the length prefix of a part of a frame.
inline constexpr std::uint32_t partFlag = 1U << 31U;

// Returns the prefix for a frame of the given size.
std::string framePrefix(std::size_t frameBytes);

// Cuts a stream of bytes into frames.
class frame_reader {
public:
    // Whether the stream may hold parts of frames, or only whole ones.
    enum class content { WholeFrames, Parts };

    explicit frame_reader(std::size_t maximumFrameBytes, content allowed = content::WholeFrames)
        : m_maximumFrameBytes(maximumFrameBytes)
        , m_allowed(allowed)
    {
    }

    void append(char const* bytes, std::size_t count);
    // Returns the next whole frame, if there is one.
    std::optional<std::string> next();
    // Whether what next() returned last is a part of a frame.
    bool isPart() const { return m_isPart; }
    // Whether a prefix announced more than is allowed. The stream is of no use from there on.
    bool isOversized() const { return m_isOversized; }

private:
    std::size_t waiting() const { return m_buffer.size() - m_read; }
    // The size in the prefix of the next frame, without the flag of a part.
    std::size_t announcedBytes() const;
    bool announcesPart() const;
    void reserveForFrame();

    std::size_t m_maximumFrameBytes;
    content m_allowed;
    std::string m_buffer;
    // How much of the buffer was handed out.
    std::size_t m_read { 0 };
    bool m_isOversized { false };
    bool m_isPart { false };
};

} // namespace merlinpier
