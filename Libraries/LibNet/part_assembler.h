#pragma once

#include <LibCore/result.h>
#include <LibNet/frame_part.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace merlinpier {

// Puts the parts of large frames on one connection together. A frame is handed out only when its last part has come and
// its size is the one announced, so that one cut short never looks whole. Everything is dropped with the connection.
class part_assembler {
public:
    // A frame may have the maximum size; all that are not whole together may have a few times as much.
    explicit part_assembler(std::size_t maximumFrameBytes);

    // Takes one part, header included, and returns the frame that it completes, if it does. Corrupt: the connection is
    // of no use any more.
    result<std::optional<std::string>> add(std::string_view part);
    // Bytes reserved for frames that are not whole.
    std::size_t heldBytes() const { return m_heldBytes; }

private:
    std::size_t m_maximumFrameBytes;
    std::size_t m_heldBytes { 0 };
    // The frames under way and their whole sizes, by stream.
    struct incomplete_frame {
        std::string bytes;
        std::size_t wholeSize { 0 };
    };
    std::map<std::uint32_t, incomplete_frame> m_incomplete;
};

} // namespace merlinpier
