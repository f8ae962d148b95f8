#include <LibWire/shared_body.h>
#include <gtest/gtest.h>

namespace merlinpier {

// Guards against a copy of a large body on its way from the link to the caller.
TEST(SharedBody, HandsOutTheSameBytesWhereNothingElseSharesThem)
{
    std::string bytes(100000, 'x');
    auto const* const place = bytes.data();
    shared_body body(std::move(bytes));
    auto const taken = body.take();
    EXPECT_EQ(taken.data(), place);
    EXPECT_TRUE(body.empty());
}

// Guards against a ledger whose answer is emptied or changed by a caller that takes it.
TEST(SharedBody, KeepsItsBytesWhenACopyIsTaken)
{
    shared_body const kept(std::string(100000, 'x'));
    auto copy = kept;
    auto taken = copy.take();
    taken[0] = 'y';
    EXPECT_EQ(kept, shared_body(std::string(100000, 'x')));
    EXPECT_EQ(taken.size(), kept.size());
}

TEST(SharedBody, ComparesByItsBytes)
{
    EXPECT_EQ(shared_body(), shared_body(""));
    EXPECT_EQ(shared_body("a"), shared_body(std::string("a")));
    EXPECT_FALSE(shared_body("a") == shared_body("b"));
    EXPECT_EQ(shared_body().take(), "");
}

} // namespace merlinpier
