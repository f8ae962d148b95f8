#include <LibHttp/http_message.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace merlinpier {

TEST(HttpMessage, DecodesWhatItEncoded)
{
    EXPECT_TRUE(rc::check([](std::string const& text) {
        auto const encoded = percentEncode(text);
        RC_ASSERT(encoded.find_first_of(" /?&=%\r\n") == std::string::npos || encoded.find('%') != std::string::npos);
        RC_ASSERT(percentDecode(encoded) == text);
    }));
}

TEST(HttpMessage, RefusesMalformedEscapes)
{
    for (char const* text : { "%", "a%2", "%zz", "%2" })
        EXPECT_EQ(percentDecode(text), std::nullopt) << text;
    EXPECT_EQ(percentDecode("%41%62"), "Ab");
}

TEST(HttpMessage, FindsHeadersInAnyCase)
{
    http_request const request { "GET", "/", { { "a", "1" }, { "a", "2" } }, { { "X-Name", "v" }, { "x-name", "w" } },
        "" };
    EXPECT_EQ(request.header("x-NAME"), "v");
    EXPECT_EQ(request.header("x"), std::nullopt);
    EXPECT_EQ(request.argument("a"), "1");
    EXPECT_EQ(request.pathWithQuery(), "/?a=1&a=2");
    EXPECT_TRUE(isConnectionHeader("Transfer-encoding"));
    EXPECT_FALSE(isConnectionHeader("Content-Type"));
}

} // namespace merlinpier
