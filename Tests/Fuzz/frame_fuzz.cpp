// Feeds any bytes to the frame reader, the decompression of frames and the decoder of messages. What is read must be
// written again to bytes that read the same, and nothing may be read from bytes that are not a whole message.

#include <LibNet/frame_compressor.h>
#include <LibNet/frame_reader.h>
#include <LibWire/message.h>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace {

constexpr std::size_t maximumFrameBytes = 4096;

void require(bool holds)
{
    if (!holds)
        std::abort();
}

void readMessage(std::string_view bytes)
{
    auto const decoded = merlinpier::decodeMessage(bytes);
    if (decoded.isError()) {
        require(decoded.failure().kind == merlinpier::error_kind::Corrupt);
        return;
    }
    auto const again = merlinpier::decodeMessage(merlinpier::encodeMessage(decoded.value()));
    require(!again.isError() && again.value() == decoded.value());
}

void readFrames(std::string_view stream)
{
    merlinpier::frame_reader reader(maximumFrameBytes);
    // The first byte says into how long pieces the stream is cut.
    std::size_t const step = stream.empty() ? 1 : 1 + static_cast<unsigned char>(stream.front());
    for (std::size_t i = 0; i < stream.size(); i += step) {
        auto const piece = stream.substr(i, step);
        reader.append(piece.data(), piece.size());
        while (auto const frame = reader.next()) {
            require(frame->size() <= maximumFrameBytes);
            readMessage(*frame);
        }
    }
}

void readCompressed(std::string_view bytes)
{
    static merlinpier::frame_compressor compressor;
    merlinpier::recent_frames taken;
    auto const frame = compressor.decompress(bytes, taken, maximumFrameBytes);
    require(frame.isError() || frame.value().size() <= maximumFrameBytes);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) // NOLINT: the name is libFuzzer's
{
    std::string_view const bytes(reinterpret_cast<char const*>(data), size);
    readMessage(bytes);
    readFrames(bytes);
    readCompressed(bytes);
    return 0;
}

// Starts the mutations from real messages: the verifier turns away nearly everything else.
extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t maximumSize);
extern "C" std::size_t LLVMFuzzerCustomMutator( // NOLINT: the name is libFuzzer's
    std::uint8_t* data, std::size_t size, std::size_t maximumSize, unsigned seed)
{
    static merlinpier::message const samples[] = {
        merlinpier::hello { .vm = "vm-a1", .zone = "a", .address = "10.0.0.1:7000", .instance = 1, .generation = 2 },
        merlinpier::membership_update {
            { { .vm = "vm-a1", .targets = { { .id = "slots-1" }, { .id = "slots-2" } } } } },
        merlinpier::configuration_answer { 3, "manifest", { { "slots", "digest", "content" } } },
        merlinpier::call_request { .id = "c-1", .headers = { { "accept", "*" } }, .body = "body" },
        merlinpier::call_query_answer { 4, { { .id = "c-1", .answer = merlinpier::call_answer { .id = "c-1" } } } },
    };
    constexpr unsigned freshStartShare = 4;
    if (seed % freshStartShare == 0) {
        auto const bytes = merlinpier::encodeMessage(samples[(seed / freshStartShare) % std::size(samples)]);
        if (bytes.size() <= maximumSize) {
            bytes.copy(reinterpret_cast<char*>(data), bytes.size());
            size = bytes.size();
        }
    }
    return LLVMFuzzerMutate(data, size, maximumSize);
}
