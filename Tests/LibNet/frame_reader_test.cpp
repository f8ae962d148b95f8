#include <LibNet/frame_reader.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

constexpr std::size_t maximumFrameBytes = 1000000;

} // namespace

// Guards against frames that are mixed up where the buffer is handed out whole, shrunk or reserved: frames of any size,
// received in pieces of any size, come out as they were sent.
RC_GTEST_PROP(FrameReader, CutsFramesWhateverPiecesTheyArriveIn, ())
{
    auto const sizes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::oneOf(rc::gen::inRange<std::size_t>(0, 300), rc::gen::inRange<std::size_t>(20000, 100000)));
    std::vector<std::string> sent;
    std::string stream;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        std::string frame(sizes[i], static_cast<char>('a' + i % 26));
        stream += framePrefix(frame.size()) + frame;
        sent.push_back(std::move(frame));
    }
    frame_reader reader(maximumFrameBytes);
    std::vector<std::string> received;
    std::size_t at = 0;
    while (at < stream.size()) {
        auto const count = std::min<std::size_t>(*rc::gen::inRange<std::size_t>(1, 70000), stream.size() - at);
        reader.append(stream.data() + at, count);
        at += count;
        while (auto frame = reader.next())
            received.push_back(std::move(*frame));
    }
    RC_ASSERT(received == sent);
    RC_ASSERT(!reader.isOversized());
}

// Guards against room that is reserved for whatever size a peer announces.
TEST(FrameReader, RefusesAFrameLargerThanIsAllowed)
{
    frame_reader reader(100);
    auto const prefix = framePrefix(101);
    reader.append(prefix.data(), prefix.size());
    EXPECT_FALSE(reader.next());
    EXPECT_TRUE(reader.isOversized());
}

} // namespace merlinpier
