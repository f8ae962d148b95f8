#include <LibNet/endpoint.h>

#include <gtest/gtest.h>

namespace merlinpier {

TEST(Endpoint, IsReadAndWrittenAlike)
{
    auto const parsed = parseEndpoint("10.0.0.1:7000");
    ASSERT_FALSE(parsed.isError());
    EXPECT_EQ(parsed.value(), (endpoint { "10.0.0.1", 7000 }));
    EXPECT_EQ(parsed.value().text(), "10.0.0.1:7000");
}

TEST(Endpoint, RefusesWhatIsNoNumberWithAPort)
{
    for (char const* text : { "", "10.0.0.1", "10.0.0.1:", ":7000", "10.0.0:7000", "localhost:7000", "10.0.0.1:65536",
             "10.0.0.1:-1", "10.0.0.1:7000x", "10.0.0.256:7000", "10.0.0.1:7000:1", "::1:80" }) {
        auto const parsed = parseEndpoint(text);
        ASSERT_TRUE(parsed.isError()) << text;
        EXPECT_EQ(parsed.failure().kind, error_kind::BadInput);
        EXPECT_FALSE(parsed.failure().remedy.empty());
    }
}

} // namespace merlinpier
