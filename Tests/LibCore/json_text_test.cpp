#include <LibCore/json_object_reader.h>
#include <LibCore/json_text.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

using namespace std::string_view_literals;

namespace {

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

std::vector<json_part> partsOf(std::string_view text)
{
    auto const parts = splitJson(text);
    return parts ? *parts : std::vector<json_part> {};
}

std::vector<std::string> textsOf(std::string_view text)
{
    std::vector<std::string> texts;
    for (auto const& part : partsOf(text))
        texts.emplace_back(part.text);
    return texts;
}

} // namespace

TEST(JsonText, SplitsOneLevel)
{
    EXPECT_EQ(textsOf(R"( [ 1 , "a,]\"" , {"b":[2,3]} , [] ] )"),
        (std::vector<std::string> { "1", R"("a,]\"")", R"({"b":[2,3]})", "[]" }));
    EXPECT_EQ(partsOf(R"({"a\u0062":{"x":"}"},"c" : null})"),
        (std::vector<json_part> { { "ab", R"({"x":"}"})" }, { "c", "null" } }));
    EXPECT_TRUE(splitJson("[]"));
    EXPECT_TRUE(splitJson("{}"));
}

TEST(JsonText, SplitsNothingThatIsNoObjectOrArray)
{
    for (auto const* text :
        { "", "1", "\"[]\"", "[", "[1", "[1,", "[1,]", "[1]]", "{1:2}", "{\"a\"}", "{\"a\":}", "[\"", "[\"\\" })
        EXPECT_FALSE(splitJson(text)) << text;
}

// Guards against a value that overflows the stack when it is copied.
TEST(JsonText, RefusesDeepNesting)
{
    EXPECT_FALSE(parseJson(nested(64)).isError());
    EXPECT_TRUE(parseJson(nested(65)).isError());
    EXPECT_TRUE(parseJson(nested(1'000'000)).isError());
    EXPECT_TRUE(parseJson("{\"a\":" + nested(1'000'000) + "}").isError());
    EXPECT_TRUE(parseJson(std::string(1'000'000, '[')).isError());
}

// Guards against text of which only the part before a zero byte is read.
TEST(JsonText, RefusesAZeroByte)
{
    for (auto const text : { "{\"a\":1}\0 }"sv, "{\"a\":1}\0"sv, "{\"a\0\":1}"sv, "\0"sv }) {
        EXPECT_TRUE(parseJson(text).isError());
        EXPECT_TRUE(parseStrictJson(text, text.size(), "the text").isError());
    }
}

// Guards against one odd part that hides the others.
TEST(JsonText, ReadsTheOtherPartsBesideAnOddOne)
{
    auto const deep = "[1," + nested(100'000) + ",1e999,-1e999,\"\xff\",2]";
    std::vector<int> read;
    for (auto const& part : partsOf(deep)) {
        if (auto const value = parseJson(part.text); !value.isError())
            read.push_back(value.value().get<int>());
    }
    EXPECT_EQ(read, (std::vector<int> { 1, 2 }));
}

TEST(JsonText, WritesNamesThatAreNoText) { EXPECT_NO_THROW(writeJson({ { "id", "a\xff" } })); }

} // namespace merlinpier
