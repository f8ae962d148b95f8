#include <LibConfiguration/questionnaire.h>

#include <LibConfiguration/service_configuration.h>
#include <LibCore/digest.h>
#include <Tests/LibConfiguration/configuration_samples.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

// Returns the sample answers as JSON, with the first occurrence of a text replaced.
std::string sampleJsonWith(std::string const& from, std::string const& to)
{
    auto json = canonicalJson(sampleAnswers("slots"));
    auto const position = json.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return json.replace(position, from.size(), to);
}

struct bad_input_case {
    char const* from;
    char const* to;
    // The text that the message must contain.
    char const* expectedText;
};

} // namespace

TEST(Questionnaire, ParsesTheExamplesOfBothDeployments)
{
    struct expectation {
        char const* file;
        std::size_t licences;
        std::uint32_t slots;
    };
    for (auto const& [file, licences, slots] :
        { expectation { "targowisko/slots", 3, 6 }, expectation { "targowisko/bookings", 3, 6 },
            expectation { "targowisko/zones", 3, 6 }, expectation { "steadyhand/jobdesk", 4, 12 },
            expectation { "steadyhand/bookings", 3, 12 }, expectation { "steadyhand/schedules", 4, 12 } }) {
        auto const answers = exampleAnswers(file);
        ASSERT_FALSE(answers.isError()) << file << ": " << answers.failure().text();
        EXPECT_EQ(answers.value().licences.size(), licences) << file;
        EXPECT_EQ(answers.value().slotsPerCopy, slots) << file;
    }
}

TEST(Questionnaire, CanonicalJsonRoundTripsAndIsIndependentOfTheInputsFormatting)
{
    auto const answers = sampleAnswers("slots");
    auto const canonical = canonicalJson(answers);
    EXPECT_EQ(parseQuestionnaire(canonical).value(), answers);
    // The same answers with another order of keys and other white space.
    auto const reformatted = R"({ "service": "slots",  "slots_per_copy":6,
        "owner":"team slots", "drain_time_ms":5000, "licences":["slots-1","slots-2"], "dependencies":[],
        "entry_points":[{"path":"/slots/{hall}","name":"list","method":"GET","idempotent":true,"class":"interactive",
        "deadline_ms":800}], "allowed_callers":["*"]})";
    EXPECT_EQ(canonicalJson(parseQuestionnaire(reformatted).value()), canonical);
    EXPECT_EQ(contentDigest(serializeServiceConfiguration(generateServiceConfiguration(answers, 3))),
        "8f3766151d4a1de4a29731624fdf6d51");
}

TEST(Questionnaire, TheTemplateIsValid)
{
    auto const answers = parseQuestionnaire(questionnaireTemplate("schedules"));
    ASSERT_FALSE(answers.isError()) << answers.failure().text();
    EXPECT_EQ(answers.value().service, "schedules");
}

TEST(Questionnaire, RefusesBadInputAndNamesTheKey)
{
    for (auto const& [from, to, expectedText] : {
             bad_input_case { "\"owner\"", "\"ownr\"", "owner" },
             { "\"owner\":\"team slots\"", "\"owner\":\"team slots\",\"extra\":1", "extra" },
             { "\"owner\":\"team slots\"", "\"owner\":\"team slots\",\"owner\":\"x\"", "owner" },
             { "\"team slots\"", "7", "owner" },
             { "\"team slots\"", "\"\"", "owner" },
             { "\"team slots\"", "\"a\\u0007\"", "owner" },
             { "\"service\":\"slots\"", "\"service\":\"Slots\"", "service" },
             { "\"service\":\"slots\"", "\"service\":\"\"", "service" },
             { "\"slots_per_copy\":6", "\"slots_per_copy\":0", "slots_per_copy" },
             { "\"slots_per_copy\":6", "\"slots_per_copy\":-6", "slots_per_copy" },
             { "\"slots_per_copy\":6", "\"slots_per_copy\":6.5", "slots_per_copy" },
             { "\"slots_per_copy\":6", "\"slots_per_copy\":4294967302", "slots_per_copy" },
             { "\"drain_time_ms\":5000", "\"drain_time_ms\":799", "drain_time_ms" },
             { "\"deadline_ms\":800", "\"deadline_ms\":0", "deadline_ms" },
             { "\"method\":\"GET\"", "\"method\":\"get\"", "method" },
             { "\"class\":\"interactive\"", "\"class\":\"batch\"", "class" },
             { "\"idempotent\":true", "\"idempotent\":\"yes\"", "idempotent" },
             { "/slots/{hall}", "slots", "path" },
             { "/slots/{hall}", "/slots//x", "path" },
             { "/slots/{hall}", "/slots/", "path" },
             { "/slots/{hall}", "/slots/../x", "path" },
             { "/slots/{hall}", "/slots/{hall", "path" },
             { "/slots/{hall}", "/{hall}/{hall}", "path" },
             { "/slots/{hall}", "/slots?x=1", "path" },
             { "\"dependencies\":[]", "\"dependencies\":[\"slots\"]", "dependencies" },
             { "\"dependencies\":[]", "\"dependencies\":[\"a\",\"a\"]", "dependencies" },
             { "\"dependencies\":[]", "\"dependencies\":[1]", "dependencies" },
             { "\"dependencies\":[]", "\"dependencies\":null", "dependencies" },
             { "[\"*\"]", "[]", "allowed_callers" },
             { "[\"*\"]", "[\"*\",\"bookings\"]", "allowed_callers" },
             { "[\"slots-1\",\"slots-2\"]", "[]", "licences" },
             { "[\"slots-1\",\"slots-2\"]", "[\"slots-1\",\"slots-1\"]", "licences" },
             { "[\"slots-1\",\"slots-2\"]", "[\"a b\"]", "licences" },
             { "\"entry_points\":[", "\"entry_points\":[5,", "entry_points[0]" },
             { "\"entry_points\":[",
                 "\"entry_points\":[{\"class\":\"report\",\"deadline_ms\":9,\"idempotent\":true,\"method\":\"GET\","
                 "\"name\":\"other\",\"path\":\"/slots/{place}\"},",
                 "entry_points[1]" },
         }) {
        auto const parsed = parseQuestionnaire(sampleJsonWith(from, to));
        ASSERT_TRUE(parsed.isError()) << from << " -> " << to;
        EXPECT_EQ(parsed.failure().kind, error_kind::BadInput) << to;
        EXPECT_NE(parsed.failure().message.find(expectedText), std::string::npos) << parsed.failure().message;
        EXPECT_FALSE(parsed.failure().remedy.empty()) << parsed.failure().message;
    }
}

TEST(Questionnaire, RefusesInvalidJson)
{
    for (auto const& text : { std::string(), std::string("{"), std::string("[]"), std::string("{\"a\":\xff}"),
             std::string("{\"owner\":1e999}"), std::string(100000, '['), std::string(300 * 1024, ' ') })
        EXPECT_EQ(parseQuestionnaire(text).failure().kind, error_kind::BadInput);
}

} // namespace merlinpier
