#include <LibNet/frame_compressor.h>

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

error corruptFrame(std::string const& what)
{
    return { error_kind::Corrupt, "a compressed frame " + what,
        "check that both sides are daemons of the same release" };
}

} // namespace

void recent_frames::add(std::string_view frame)
{
    m_bytes += frame.substr(0, keptBytesPerFrame);
    if (m_bytes.size() > keptBytes)
        m_bytes.erase(0, m_bytes.size() - keptBytes);
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
    ZSTD_CCtx_refPrefix(context, history.bytes().data(), history.bytes().size());
    std::string compressed(ZSTD_compressBound(frame.size()), '\0');
    // With room for the bound, compression fails only for want of memory, which ends a process anyway.
    auto const written = ZSTD_compress2(context, compressed.data(), compressed.size(), frame.data(), frame.size());
    compressed.resize(ZSTD_isError(written) ? 0 : written);
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
