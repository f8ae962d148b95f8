#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace merlinpier {

// Frames above this size, as compressed, go in parts on links whose both ends take them.
inline constexpr std::size_t largeFrameBytes = 16 * 1024;
// The bytes before those of the frame in each part: the stream with the flags, and the size of the whole frame.
inline constexpr std::size_t partHeaderBytes = 8;

// A piece of a large frame. Pieces of several frames may alternate on a connection; each frame has a stream of its own.
struct frame_part {
    std::uint32_t stream { 0 };
    // Size of the whole frame.
    std::uint32_t frameBytes { 0 };
    bool isLast { false };
    // The rest of the frame will not come, and what came of it is to be dropped.
    bool isAbandoned { false };
    std::string bytes;

    bool operator==(frame_part const&) const = default;
};

// Returns the length prefix and the header of a part, to be followed by its bytes.
std::string partPrefix(frame_part const&);
// Reads the header of a part that was received, without the length prefix; the bytes stay where they are. Returns false
// if it is no part.
bool readPartHeader(std::string_view received, frame_part&);

} // namespace merlinpier
