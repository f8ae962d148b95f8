#include <Tests/LibConfiguration/commit_simulation.h>
#include <Tests/LibConfiguration/configuration_samples.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

constexpr int maximumScheduleLength = 600;

submission submit(std::string const& id, std::string const& service)
{
    submission request { id, submission_kind::Submit, service, sampleAnswers(service), {} };
    // Makes the answers of different submissions distinguishable.
    request.answers->owner = id;
    return request;
}

// Generates one to three submissions of an operator. With several services, one in four of them is a removal.
std::vector<submission> generateSubmissions(std::string const& name, std::vector<std::string> const& services)
{
    std::vector<submission> submissions;
    auto const count = *rc::gen::inRange(1, 4);
    for (int number = 0; number < count; ++number) {
        auto request = submit(name + "-" + std::to_string(number), *rc::gen::elementOf(services));
        if (services.size() > 1 && *rc::gen::inRange(0, 4) == 0) {
            request.kind = submission_kind::Remove;
            request.answers.reset();
        }
        submissions.push_back(request);
    }
    return submissions;
}

bool hasFailure(commit_simulation const& simulation, error_kind kind)
{
    auto const& records = simulation.submissions();
    return std::any_of(records.begin(), records.end(),
        [&](submission_record const& record) { return record.failure && record.failure->kind == kind; });
}

void checkConcurrentSubmissions(std::vector<std::string> const& services)
{
    auto const choice = rc::gen::inRange<std::uint16_t>(0, std::numeric_limits<std::uint16_t>::max());
    commit_simulation simulation(
        *rc::gen::resize(maximumScheduleLength, rc::gen::container<std::vector<std::uint16_t>>(choice)),
        *rc::gen::element(0U, 2U, 8U, 14U));
    auto const operators = *rc::gen::inRange(2, 5);
    for (int number = 0; number < operators; ++number) {
        auto const base
            = *rc::gen::element(commit_simulation::base_choice::Current, commit_simulation::base_choice::Unspecified);
        simulation.addOperator(generateSubmissions("operator-" + std::to_string(number), services), base);
    }
    simulation.run();
    RC_CLASSIFY(hasFailure(simulation, error_kind::Conflict), "with a conflict");
    RC_CLASSIFY(hasFailure(simulation, error_kind::OutcomeUnknown), "with an unknown outcome");
    RC_CLASSIFY(hasFailure(simulation, error_kind::Unavailable), "with an unavailable platform");
    auto const violation = simulation.findViolation();
    if (violation)
        RC_FAIL(*violation);
}

} // namespace

RC_GTEST_PROP(CommitHistory, ConcurrentSubmissionsToOneServiceLoseNoUpdate, ())
{
    checkConcurrentSubmissions({ "slots" });
}

RC_GTEST_PROP(CommitHistory, ConcurrentSubmissionsToTwoServicesLoseNoUpdate, ())
{
    checkConcurrentSubmissions({ "bookings", "slots" });
}

// Operators submit concurrently on the same base, without faults: exactly one submission must be accepted, and every
// other must fail with a conflict that names both revisions.
TEST(CommitHistory, AcceptsOneOfSeveralConcurrentSubmissionsOnTheSameBase)
{
    std::vector<std::uint16_t> choices;
    for (std::uint16_t step = 0; step < 400; ++step)
        choices.push_back(static_cast<std::uint16_t>(step * 7919));
    commit_simulation simulation(choices, 0);
    for (auto const* name : { "first", "second", "third" })
        simulation.addOperator({ submit(name, "slots") }, commit_simulation::base_choice::Unspecified);
    simulation.run();
    EXPECT_EQ(simulation.findViolation(), std::nullopt);
    std::size_t accepted = 0;
    for (auto const& record : simulation.submissions()) {
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
