#include <LibConfiguration/configuration_set.h>

#include <LibConfiguration/submission_json.h>
#include <LibConfiguration/version_store.h>
#include <LibCore/digest.h>
#include <Tests/LibConfiguration/configuration_samples.h>

#include <gtest/gtest.h>

namespace merlinpier {

TEST(ConfigurationSet, IsRefusedIfOneServiceViolatesARule)
{
    auto dependent = sampleAnswers("bookings");
    dependent.dependencies = { "slots" };
    auto restricted = sampleAnswers("bookings");
    restricted.allowedCallers = { "slots" };
    auto duplicateLicence = sampleAnswers("bookings");
    duplicateLicence.licences = { "slots-2" };
    auto shortDrain = sampleAnswers("bookings");
    shortDrain.drainTime = milliseconds(1);

    EXPECT_EQ(buildSet(1, { dependent }).failure().kind, error_kind::BadInput);
    EXPECT_EQ(buildSet(1, { restricted }).failure().kind, error_kind::BadInput);
    EXPECT_NE(
        buildSet(1, { duplicateLicence, sampleAnswers("slots") }).failure().message.find("slots-2"), std::string::npos);
    EXPECT_NE(buildSet(1, { shortDrain }).failure().message.find("drain_time_ms"), std::string::npos);
    EXPECT_FALSE(buildSet(1, { dependent, sampleAnswers("slots") }).isError());
    EXPECT_FALSE(buildSet(1, { restricted, sampleAnswers("slots") }).isError());
}

TEST(ConfigurationSet, IsRefusedIfAFragmentIsMissingDamagedOrDiffersFromItsEntry)
{
    auto const fragments = fragmentsOf({ sampleAnswers("bookings"), sampleAnswers("slots") }, 1);
    auto const versionManifest = manifestOf(1, fragments, 1);
    auto const kindOf = [](manifest const& wanted, std::vector<wire_fragment> const& given) {
        return configuration_set::tryCreate(wanted, given).failure().kind;
    };
    EXPECT_EQ(kindOf(versionManifest, { fragments[0] }), error_kind::NotFound);
    auto damaged = fragments;
    damaged[1].content[20] ^= 1;
    EXPECT_EQ(kindOf(versionManifest, damaged), error_kind::Corrupt);
    auto reformatted = fragments;
    reformatted[1].content += " ";
    reformatted[1].digest = contentDigest(reformatted[1].content);
    EXPECT_EQ(kindOf(manifestOf(1, reformatted, 1), reformatted), error_kind::Corrupt);
    EXPECT_EQ(kindOf(manifestOf(1, fragments, 2), fragments), error_kind::Corrupt);
    auto unsorted = versionManifest;
    std::swap(unsorted.entries[0], unsorted.entries[1]);
    EXPECT_EQ(kindOf(unsorted, fragments), error_kind::BadInput);
}

TEST(ConfigurationSet, ReturnsOnlyTheFragmentsThatAreNotExcluded)
{
    auto const first = buildSet(1, { sampleAnswers("bookings"), sampleAnswers("slots") }).value();
    auto const missing = first->fragmentsExcept({ first->digests()[0], "other" });
    ASSERT_EQ(missing.size(), 1u);
    EXPECT_EQ(missing[0].service, "slots");
    auto const rebuilt = configuration_set::tryCreate(
        parseManifest(serializeManifest(first->versionManifest())).value(), first->fragmentsExcept({}));
    EXPECT_EQ(rebuilt.value()->digest(), first->digest());
    EXPECT_EQ(rebuilt.value()->services(), first->services());
}

TEST(ConfigurationSet, ValidatesAnswersLikeASubmission)
{
    auto const set = buildSet(1, { sampleAnswers("slots") }, 4).value();
    auto answers = sampleAnswers("slots");
    EXPECT_EQ(checkAnswers(answers, *set).value().revision, 5u);
    answers.dependencies = { "zones" };
    EXPECT_EQ(checkAnswers(answers, *set).failure().kind, error_kind::BadInput);
}

TEST(VersionStore, AppliesOnlyHigherVersions)
{
    version_store store;
    EXPECT_FALSE(store.isReady());
    auto const second = buildSet(2, { sampleAnswers("slots") }).value();
    auto const otherSecond = buildSet(2, { sampleAnswers("zones") }).value();
    auto const first = buildSet(1, { sampleAnswers("slots") }).value();
    EXPECT_FALSE(store.apply(second).isError());
    EXPECT_TRUE(store.isReady());
    for (auto const& stale : { first, second, otherSecond, configuration_set::createEmpty() }) {
        EXPECT_EQ(store.apply(stale).failure().kind, error_kind::Refused);
        EXPECT_EQ(store.applied(), second);
    }
    EXPECT_NE(store.apply(otherSecond).failure().message.find("different content"), std::string::npos);
}

TEST(VersionStore, RefusesVersionsBelowTheFloor)
{
    version_store store;
    store.raiseFloor(3);
    store.raiseFloor(2);
    EXPECT_EQ(store.floor(), 3u);
    EXPECT_EQ(store.apply(buildSet(2, { sampleAnswers("slots") }).value()).failure().kind, error_kind::Refused);
    EXPECT_FALSE(store.isReady());
    EXPECT_FALSE(store.apply(buildSet(3, { sampleAnswers("slots") }).value()).isError());
    EXPECT_TRUE(store.isReady());
    // A floor above the applied version makes the daemon not ready until it has caught up.
    store.raiseFloor(5);
    EXPECT_FALSE(store.isReady());
}

TEST(VersionStore, ReportsARefusedVersionUntilAHigherOneIsApplied)
{
    version_store store;
    EXPECT_FALSE(store.apply(buildSet(1, { sampleAnswers("slots") }).value()).isError());
    store.refuse(3, "no dependency");
    store.refuse(2, "older reason");
    store.refuse(1, "already applied");
    EXPECT_EQ(store.refusedVersion(), 3u);
    EXPECT_EQ(store.refusedReason(), "no dependency");
    EXPECT_EQ(store.applied()->version(), 1u);
    EXPECT_FALSE(store.apply(buildSet(2, { sampleAnswers("slots") }).value()).isError());
    EXPECT_EQ(store.refusedVersion(), 3u);
    EXPECT_FALSE(store.apply(buildSet(4, { sampleAnswers("slots") }).value()).isError());
    EXPECT_EQ(store.refusedVersion(), 0u);
}

TEST(SubmissionJson, RoundTripsSubmissionsAndErrorsAndRefusesInvalidBodies)
{
    submission const request { "id-1", submission_kind::Submit, "slots", sampleAnswers("slots"), 3 };
    EXPECT_EQ(parseSubmission(serializeSubmission(request)).value(), request);
    submission const removal { "id-2", submission_kind::Remove, "slots", {}, {} };
    EXPECT_EQ(parseSubmission(serializeSubmission(removal)).value(), removal);
    error const conflict { error_kind::Conflict, "message", "remedy" };
    EXPECT_EQ(parseError(serializeError(conflict)), conflict);
    EXPECT_EQ(parseError("<html>").kind, error_kind::Corrupt);
    for (auto const* body : { "", "{}", R"({"id":"a","kind":"submit","service":"slots"})",
             R"({"id":"a","kind":"replace","service":"slots"})",
             R"({"id":"a","kind":"remove","service":"slots","answers":{}})",
             R"({"id":"a","kind":"remove","service":"slots","base_revision":-1})" })
        EXPECT_EQ(parseSubmission(body).failure().kind, error_kind::BadInput) << body;
}

} // namespace merlinpier
