#pragma once

#include <LibCore/result.h>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace merlinpier {

// The beginnings of the latest frames of one direction of a connection. Both ends keep the same, since TCP delivers
// frames in order; what a frame has in common with them is not sent again.
class recent_frames {
public:
    void add(std::string_view frame);
    std::string_view bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

// Compresses frames with Zstandard against the frames before them on their connection. One compressor serves all
// connections of a transport, as it keeps nothing between frames but working memory. Not safe for use by several
// threads.
class frame_compressor {
public:
    frame_compressor();
    ~frame_compressor();
    frame_compressor(frame_compressor const&) = delete;
    frame_compressor& operator=(frame_compressor const&) = delete;

    // Returns the compressed frame and adds the frame to the history.
    std::string compress(std::string_view frame, recent_frames&);
    // Returns the frame and adds it to the history; Corrupt if the bytes are no compressed frame, if the history is not
    // the one that they were compressed against, or if the frame is larger than is allowed.
    result<std::string> decompress(std::string_view compressed, recent_frames&, std::size_t maximumFrameBytes);

private:
    struct contexts;

    std::unique_ptr<contexts> m_contexts;
};

} // namespace merlinpier
