#include <LibNet/frame_compressor.h>

#include <LibWire/message.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

constexpr std::size_t maximumFrameBytes = 1 << 20;

// A look-up as a target makes it of another service: small, and alike from call to call.
std::string lookUp(unsigned number)
{
    auto const id = "9c41d07be2a35f" + std::to_string(10 + number);
    return encodeMessage(call_request { .id = id + ".945a." + std::to_string(number) + "#1",
        .instance = 0x1234567890abcdef,
        .service = "bookings",
        .target = "i-4b7ba7c329",
        .entryPoint = "hold-check",
        .method = "GET",
        .path = "/holds/" + std::to_string(number * 7919),
        .headers = { { "Host", "holds.example" }, { "User-Agent", "sdk-client/1.9.3" }, { "Accept", "*/*" },
            { "Accept-Encoding", "identity" }, { "Attempt-Id", id } },
        .remainingMs = 180 + number });
}

} // namespace

TEST(FrameCompressor, SendsWhatRepeatsFromCallToCallOnlyOnce)
{
    frame_compressor compressor;
    recent_frames sent;
    std::size_t plain = 0;
    std::size_t compressed = 0;
    compressor.compress(lookUp(0), sent);
    for (unsigned i = 1; i <= 50; ++i) {
        auto const frame = lookUp(i);
        plain += frame.size();
        compressed += compressor.compress(frame, sent).size();
    }
    EXPECT_LT(compressed * 4, plain);
}

TEST(FrameCompressor, ShrinksAConfigurationThatNoFrameBeforeResembles)
{
    std::string content;
    for (int i = 0; i < 1400; ++i)
        content += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","path_prefix":"/a","kind":"idempotent"},)";
    auto const frame = encodeMessage(configuration_answer { 3, "manifest", { { "routes.00", "digest", content } } });
    frame_compressor compressor;
    recent_frames sent;
    EXPECT_LT(compressor.compress(frame, sent).size() * 4, frame.size());
}

RC_GTEST_PROP(FrameCompressor, ReadsEveryFrameAsItWasWritten, (std::vector<std::string> const& frames))
{
    frame_compressor compressor;
    recent_frames sent;
    recent_frames taken;
    for (auto const& frame : frames) {
        auto const read = compressor.decompress(compressor.compress(frame, sent), taken, maximumFrameBytes);
        RC_ASSERT(!read.isError());
        RC_ASSERT(read.value() == frame);
    }
}

TEST(FrameCompressor, RefusesAFrameThatWasCompressedAgainstOthers)
{
    frame_compressor compressor;
    recent_frames sent;
    recent_frames taken;
    compressor.compress(lookUp(0), sent);
    auto const compressed = compressor.compress(lookUp(1), sent);
    auto const read = compressor.decompress(compressed, taken, maximumFrameBytes);
    ASSERT_TRUE(read.isError());
    EXPECT_EQ(read.failure().kind, error_kind::Corrupt);
}

TEST(FrameCompressor, RefusesAChangedByte)
{
    frame_compressor compressor;
    recent_frames sent;
    auto const whole = compressor.compress(lookUp(0), sent);
    for (std::size_t i = 0; i < whole.size(); ++i) {
        auto changed = whole;
        changed[i] = static_cast<char>(changed[i] ^ 0x20);
        recent_frames taken;
        auto const read = compressor.decompress(changed, taken, maximumFrameBytes);
        EXPECT_TRUE(read.isError() || read.value() == lookUp(0)) << "byte " << i;
    }
}

TEST(FrameCompressor, RefusesAFrameThatWouldUnfoldBeyondTheLimit)
{
    frame_compressor compressor;
    recent_frames sent;
    recent_frames taken;
    auto const compressed = compressor.compress(std::string(maximumFrameBytes + 1, 'a'), sent);
    ASSERT_LT(compressed.size(), maximumFrameBytes / 100);
    auto const read = compressor.decompress(compressed, taken, maximumFrameBytes);
    ASSERT_TRUE(read.isError());
    EXPECT_EQ(read.failure().kind, error_kind::Corrupt);
}

TEST(FrameCompressor, RefusesBytesThatAreNoCompressedFrame)
{
    frame_compressor compressor;
    recent_frames taken;
    for (std::string const bytes : { "", "a", "GET / HTTP/1.1\r\n\r\n" })
        EXPECT_TRUE(compressor.decompress(bytes, taken, maximumFrameBytes).isError());
}

} // namespace merlinpier
