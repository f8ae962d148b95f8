#include "arbitrary_messages.h"

#include <LibWire/frames_generated.h>
#include <LibWire/message.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

void expectCorrupt(std::string_view bytes)
{
    auto const decoded = decodeMessage(bytes);
    ASSERT_TRUE(decoded.isError());
    EXPECT_EQ(decoded.failure().kind, error_kind::Corrupt);
}

std::string finished(flatbuffers::FlatBufferBuilder& builder, flatbuffers::Offset<wire::Frame> frame)
{
    builder.FinishSizePrefixed(frame);
    return { reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize() };
}

} // namespace

class MessageKindTest : public testing::TestWithParam<std::size_t> { };

TEST_P(MessageKindTest, SurvivesTheWire)
{
    EXPECT_TRUE(rc::check([kind = GetParam()] {
        message const sent = drawMessage(kind);
        RC_ASSERT(sent.index() == kind);
        auto const received = decodeMessage(encodeMessage(sent));
        RC_ASSERT(!received.isError());
        RC_ASSERT(received.value() == sent);
    }));
}

TEST_P(MessageKindTest, IsRefusedWhenCutShortOrFollowedByMore)
{
    EXPECT_TRUE(rc::check([kind = GetParam()] {
        std::string const bytes = encodeMessage(drawMessage(kind));
        RC_ASSERT(decodeMessage(bytes.substr(0, drawBelow(bytes.size()))).isError());
        RC_ASSERT(decodeMessage(bytes + *rc::gen::arbitrary<char>()).isError());
    }));
}

TEST_P(MessageKindTest, IsReadOrRefusedWhenMutated)
{
    EXPECT_TRUE(rc::check([kind = GetParam()] {
        std::string bytes = encodeMessage(drawMessage(kind));
        std::size_t const mutations = 1 + drawBelow(8);
        for (std::size_t i = 0; i < mutations; ++i)
            bytes[drawBelow(bytes.size())] = *rc::gen::arbitrary<char>();
        auto const decoded = decodeMessage(bytes);
        bool const isReadOrRefused = !decoded.isError() || decoded.failure().kind == error_kind::Corrupt;
        RC_ASSERT(isReadOrRefused);
    }));
}

INSTANTIATE_TEST_SUITE_P(EachKind, MessageKindTest, testing::Range<std::size_t>(0, std::variant_size_v<message>));

RC_GTEST_PROP(Message, IsReadOrRefusedWhenRandom, ())
{
    auto const decoded = decodeMessage(drawText());
    RC_ASSERT(decoded.isError());
    RC_ASSERT(decoded.failure().kind == error_kind::Corrupt);
}

TEST(Message, IsReadAtAnyAlignment)
{
    message const sent = hello { connection_purpose::Calls, "vm", "zone", "10.0.0.1:7000", 7, 9 };
    std::string const shifted = "x" + encodeMessage(sent);
    auto const received = decodeMessage(std::string_view(shifted).substr(1));
    ASSERT_FALSE(received.isError());
    EXPECT_EQ(received.value(), sent);
}

TEST(Message, IsRefusedWithoutBody)
{
    flatbuffers::FlatBufferBuilder builder;
    expectCorrupt(finished(builder, wire::CreateFrame(builder)));
}

TEST(Message, IsRefusedWithUnknownKindOfBody)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const body = wire::CreatePing(builder, 1).Union();
    expectCorrupt(finished(builder, wire::CreateFrame(builder, static_cast<wire::Body>(200), body)));
}

TEST(Message, IsRefusedWithEnumeratorOutOfRange)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const body = wire::CreateCallRefused(builder, 0, static_cast<wire::Refusal>(99)).Union();
    expectCorrupt(finished(builder, wire::CreateFrame(builder, wire::Body::CallRefused, body)));
}

// Guards against reads that are undefined: the library verifies the alignment of a vector's length, but not of its
// elements.
TEST(Message, IsRefusedWithNumbersThatAreNotAligned)
{
    int refused = 0;
    for (std::size_t const padding : { 0U, 4U }) {
        flatbuffers::FlatBufferBuilder builder;
        builder.CreateString(std::string(sizeof(std::uint64_t), 'x'));
        // One element, of which the first byte is its own and the rest those of the string.
        auto const buckets = builder.CreateVector(std::vector<std::uint8_t> { 1 });
        // Shifts what lies before it by four bytes in one of the two cases.
        builder.CreateString(std::string(padding, 'y'));
        auto const body
            = wire::CreateMembershipDigest(builder, flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>>(buckets.o))
                  .Union();
        auto const decoded
            = decodeMessage(finished(builder, wire::CreateFrame(builder, wire::Body::MembershipDigest, body)));
        refused += decoded.isError() && decoded.failure().message.find("not aligned") != std::string::npos;
    }
    EXPECT_EQ(refused, 1);
}

// Without a bound, a message of a few kilobytes that names one string a thousand times unfolds into megabytes.
TEST(Message, IsRefusedWhenItUnfoldsIntoMoreThanItsSize)
{
    flatbuffers::FlatBufferBuilder builder;
    auto const text = builder.CreateString(std::string(4096, 'x'));
    std::vector<flatbuffers::Offset<flatbuffers::String>> const shared(1000, text);
    auto const body = wire::CreateCallAcknowledge(builder, builder.CreateVector(shared)).Union();
    expectCorrupt(finished(builder, wire::CreateFrame(builder, wire::Body::CallAcknowledge, body)));
}

} // namespace merlinpier
