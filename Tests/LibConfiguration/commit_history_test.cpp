#include <Tests/LibConfiguration/commit_race.h>
#include <Tests/LibConfiguration/configuration_samples.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

constexpr int longestSchedule = 600;

submission submit(std::string const& id, std::string const& service)
{
    submission request { id, submission_kind::Submit, service, sampleAnswers(service), {} };
    // Tells the answers of different submissions apart.
    request.answers->owner = id;
    return request;
}

// An operator's one to three submissions to one of the services; with several services, now and then a removal.
std::vector<submission> drawScript(std::string const& name, std::vector<std::string> const& services)
{
    std::vector<submission> script;
    auto const count = *rc::gen::inRange(1, 4);
    for (int number = 0; number < count; ++number) {
        auto request = submit(name + "-" + std::to_string(number), *rc::gen::elementOf(services));
        if (services.size() > 1 && *rc::gen::inRange(0, 4) == 0) {
            request.kind = submission_kind::Remove;
            request.answers.reset();
        }
        script.push_back(request);
    }
    return script;
}

bool hasFailure(commit_race const& race, error_kind kind)
{
    auto const& records = race.submissions();
    return std::any_of(records.begin(), records.end(),
        [&](submission_record const& record) { return record.failure && record.failure->kind == kind; });
}

void raceOn(std::vector<std::string> const& services)
{
    auto const choice = rc::gen::inRange<std::uint16_t>(0, std::numeric_limits<std::uint16_t>::max());
    commit_race race(*rc::gen::resize(longestSchedule, rc::gen::container<std::vector<std::uint16_t>>(choice)),
        *rc::gen::element(0U, 2U, 8U, 14U));
    auto const operators = *rc::gen::inRange(2, 5);
    for (int number = 0; number < operators; ++number) {
        auto const base = *rc::gen::element(commit_race::base_choice::Seen, commit_race::base_choice::NotNamed);
        race.addOperator(drawScript("operator-" + std::to_string(number), services), base);
    }
    race.run();
    RC_CLASSIFY(hasFailure(race, error_kind::Conflict), "with a conflict");
    RC_CLASSIFY(hasFailure(race, error_kind::OutcomeUnknown), "with an unknown outcome");
    RC_CLASSIFY(hasFailure(race, error_kind::Unavailable), "with the platform unavailable");
    auto const violation = race.findViolation();
    if (violation)
        RC_FAIL(*violation);
}

} // namespace

RC_GTEST_PROP(CommitHistory, OperatorsRacingOnOneServiceLoseNoUpdate, ()) { raceOn({ "slots" }); }

RC_GTEST_PROP(CommitHistory, OperatorsRacingOnTwoServicesLoseNoUpdate, ()) { raceOn({ "bookings", "slots" }); }

// Without faults and with everybody starting from the same base, exactly one wins and every other gets a conflict that
// names both revisions.
TEST(CommitHistory, OneOfSeveralOperatorsOnTheSameBaseWins)
{
    std::vector<std::uint16_t> choices;
    for (std::uint16_t step = 0; step < 400; ++step)
        choices.push_back(static_cast<std::uint16_t>(step * 7919));
    commit_race race(choices, 0);
    for (auto const* name : { "first", "second", "third" })
        race.addOperator({ submit(name, "slots") }, commit_race::base_choice::NotNamed);
    race.run();
    EXPECT_EQ(race.findViolation(), std::nullopt);
    std::size_t accepted = 0;
    for (auto const& record : race.submissions()) {
        accepted += record.accepted ? 1 : 0;
        if (record.accepted)
            continue;
        EXPECT_EQ(record.failure->kind, error_kind::Conflict);
        EXPECT_EQ(record.failure->message,
            "service \"slots\" is now at revision 1; the submission was made while it was absent");
    }
    EXPECT_EQ(accepted, 1u);
}

} // namespace merlinpier
