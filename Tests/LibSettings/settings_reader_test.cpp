#include <LibSettings/settings_reader.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

settings_reader readerOf(std::string const& json)
{
    return settings_reader::tryCreate(json, "test.json").releaseValue();
}

// Returns the message of the only fault in the settings.
std::string faultOf(std::string const& json)
{
    auto reader = readerOf(json);
    reader.text("name", "none");
    reader.choice("mode", { "push", "announce" }, "push");
    reader.number("period_ms", 1, 1000, 10);
    reader.endpointText("address", "127.0.0.1:0");
    reader.endpoints("seeds");
    auto const finished = reader.finish();
    return finished.isError() ? finished.failure().message : "";
}

} // namespace

TEST(SettingsReader, ReadsWhatIsThereAndFallsBackForTheRest)
{
    auto reader = readerOf(R"({"vm":"a1","period_ms":20,"seeds":["10.0.0.1:7000","10.0.0.2:7000"],"mode":"announce"})");
    EXPECT_EQ(reader.requiredText("vm"), "a1");
    EXPECT_EQ(reader.requiredNumber("period_ms", 1, 100), 20);
    EXPECT_EQ(reader.number("other_ms", -5, 100, -3), -3);
    EXPECT_EQ(reader.choice("mode", { "push", "announce" }, "push"), "announce");
    EXPECT_EQ(reader.endpoints("seeds"), (std::vector<std::string> { "10.0.0.1:7000", "10.0.0.2:7000" }));
    EXPECT_TRUE(reader.endpoints("further").empty());
    EXPECT_EQ(reader.endpointText("address", "127.0.0.1:0"), "127.0.0.1:0");
    EXPECT_FALSE(reader.finish().isError());
}

TEST(SettingsReader, NamesFileKeyAndWhatIsAllowed)
{
    EXPECT_EQ(faultOf(R"({"nam":"x"})"), "test.json: unknown key \"nam\"");
    EXPECT_EQ(faultOf(R"({"name":7})"), "test.json: \"name\" must be text in quotes that is not empty, not 7");
    EXPECT_EQ(faultOf(R"({"mode":"pull"})"), "test.json: \"mode\" must be one of \"push\", \"announce\", not \"pull\"");
    for (auto const* value : { "0", "1001", "-1", "1.5", "\"10\"", "18446744073709551615" }) {
        EXPECT_EQ(faultOf("{\"period_ms\":" + std::string(value) + "}"),
            "test.json: \"period_ms\" must be a whole number from 1 to 1000, not " + std::string(value));
    }
    for (auto const* value : { "localhost:80", "10.0.0.1", "10.0.0.256:80", "10.0.0.1:65536", "10.0.0.1:", ":80",
             "10.0.0.1:80 ", "[::1]:80" }) {
        EXPECT_EQ(faultOf("{\"address\":\"" + std::string(value) + "\"}"),
            "test.json: \"address\" must be an IP number with a port, such as \"10.0.0.1:7000\", not \""
                + std::string(value) + "\"");
    }
    EXPECT_NE(faultOf(R"({"seeds":["10.0.0.1:1",5]})").find("\"seeds[1]\""), std::string::npos);
    EXPECT_NE(faultOf(R"({"seeds":"10.0.0.1:1"})").find("must be a list"), std::string::npos);
}

TEST(SettingsReader, ListsEveryFaultAtOnce)
{
    auto reader = readerOf(R"({"period_ms":0,"extra":1})");
    EXPECT_EQ(reader.requiredText("vm"), "");
    EXPECT_EQ(reader.requiredEndpoint("address"), "");
    EXPECT_EQ(reader.number("period_ms", 1, 10, 5), 5);
    reader.addFault("lease_ms is not above period_ms", "raise lease_ms");
    auto const failure = reader.finish().failure();
    EXPECT_EQ(failure.kind, error_kind::BadSettings);
    for (auto const* part : { "5 faults", "\"vm\" is missing", "\"address\" is missing", "\"period_ms\"",
             "lease_ms is not above period_ms", "raise lease_ms", "unknown key \"extra\"" })
        EXPECT_NE(failure.message.find(part), std::string::npos) << part << "\n" << failure.message;
}

TEST(SettingsReader, RefusesWhatIsNoSettingsFile)
{
    for (auto const* text : { "", "[]", "{", "{\"a\":1,\"a\":2}", "null" })
        EXPECT_EQ(settings_reader::tryCreate(text, "test.json").failure().kind, error_kind::BadSettings) << text;
    EXPECT_NE(settings_reader::tryCreateFromFile("/nonexistent/x.json").failure().message.find("/nonexistent/x.json"),
        std::string::npos);
}

} // namespace merlinpier
