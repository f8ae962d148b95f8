#include <LibCalls/request_fingerprint.h>

#include <gtest/gtest.h>

namespace merlinpier {

TEST(RequestFingerprint, CoversCallerPathAndBody)
{
    auto const fingerprint = requestFingerprint("halls", "/list/1?day=2", "body");
    EXPECT_EQ(fingerprint, requestFingerprint("halls", "/list/1?day=2", "body"));
    EXPECT_NE(fingerprint, requestFingerprint("slots", "/list/1?day=2", "body"));
    EXPECT_NE(fingerprint, requestFingerprint("halls", "/list/1?day=3", "body"));
    EXPECT_NE(fingerprint, requestFingerprint("halls", "/list/1?day=2", ""));
    EXPECT_NE(requestFingerprint("ab", "c", ""), requestFingerprint("a", "bc", ""));
    EXPECT_EQ(fingerprintText(0x1f), "000000000000001f");
}

TEST(RequestFingerprint, ParsesItsTextAndRejectsOther)
{
    EXPECT_EQ(parseFingerprint("00000000deadbeef").value(), 0xdeadbeefU);
    for (auto const* text :
        { "", "deadbeef", "00000000deadbeeg", "00000000deadbeef0", "0x000000deadbeef", "-000000000000001" })
        EXPECT_EQ(parseFingerprint(text).failure().kind, error_kind::BadInput) << text;
}

} // namespace merlinpier
