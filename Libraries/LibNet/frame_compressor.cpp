#include <LibNet/frame_compressor.h>

#include <utility>
#include <zstd.h>

namespace merlinpier {

namespace {

// Frames of calls begin with what repeats from call to call (names, headers, addresses) and end with their body; this
// many bytes hold the former.
constexpr std::size_t keptBytesPerFrame = 1024;
// Holds a few frames of each kind (docs/design/system.md).
constexpr std::size_t keptBytes = 2048;
// Zstandard's level for speed.
constexpr int compressionLevel = 1;
// The window of frames above its size. Zstandard would take one of 512 KB for the largest, and its working memory stays
// with the context: 580 KB, against 340 KB with this one.
constexpr int windowLog = 16;
constexpr std::size_t windowBytes = std::size_t { 1 } << windowLog;
// Room in a compressed frame beyond which it is copied to a smaller block.
constexpr std::size_t wasteAllowed = 8 * 1024;

error corruptFrame(std::string const& what)
{
    return { error_kind::Corrupt, "a compressed frame " + what,
        "check that both sides are daemons of the same release" };
}

} // namespace

void recent_frames::add(std::string_view frame)
{
    auto const added = frame.substr(0, keptBytesPerFrame);
    auto const size = m_bytes.size() + added.size();
    if (size > keptBytes)
        m_bytes.erase(0, size - keptBytes);
    // A daemon keeps two of these for each connection, about a hundred connections, so none grows beyond its limit.
    if (size > m_bytes.capacity() && size > keptBytes / 2) {
        std::string grown;
        grown.reserve(keptBytes);
        grown += m_bytes;
        m_bytes = std::move(grown);
    }
    m_bytes += added;
}

struct frame_compressor::contexts {
    contexts()
        : compression(ZSTD_createCCtx(), ZSTD_freeCCtx)
        , decompression(ZSTD_createDCtx(), ZSTD_freeDCtx)
    {
        ZSTD_CCtx_setParameter(compression.get(), ZSTD_c_compressionLevel, compressionLevel);
        ZSTD_CCtx_setParameter(compression.get(), ZSTD_c_checksumFlag, 1);
    }

    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> compression;
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> decompression;
};

frame_compressor::frame_compressor()
    : m_contexts(std::make_unique<contexts>())
{
}

frame_compressor::~frame_compressor() = default;

std::string frame_compressor::compress(std::string_view frame, recent_frames& history)
{
    auto* const context = m_contexts->compression.get();
    ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, frame.size() > windowBytes ? windowLog : 0);
    ZSTD_CCtx_refPrefix(context, history.bytes().data(), history.bytes().size());
    std::string compressed(ZSTD_compressBound(frame.size()), '\0');
    // With room for the bound, compression fails only for want of memory, which ends a process anyway.
    auto const written = ZSTD_compress2(context, compressed.data(), compressed.size(), frame.data(), frame.size());
    compressed.resize(ZSTD_isError(written) ? 0 : written);
    // Frames of which most is left over after compression may wait long to be written.
    if (compressed.capacity() - compressed.size() > wasteAllowed)
        compressed.shrink_to_fit();
    history.add(frame);
    return compressed;
}

result<std::string> frame_compressor::decompress(
    std::string_view compressed, recent_frames& history, std::size_t maximumFrameBytes)
{
    auto const size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return corruptFrame("does not tell its size");
    if (size > maximumFrameBytes)
        return corruptFrame("is larger than is allowed");
    auto* const context = m_contexts->decompression.get();
    ZSTD_DCtx_refPrefix(context, history.bytes().data(), history.bytes().size());
    std::string frame(static_cast<std::size_t>(size), '\0');
    auto const read = ZSTD_decompressDCtx(context, frame.data(), frame.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(read) || read != frame.size())
        return corruptFrame("cannot be read");
    history.add(frame);
    return frame;
}

} // namespace merlinpier
