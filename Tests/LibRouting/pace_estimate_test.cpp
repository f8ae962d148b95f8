#include <LibRouting/pace_estimate.h>
#include <LibRouting/target_chooser.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(1000));

// Does the work in steps of 1 ms at the pace that the estimate expects at each of them.
duration timeInSteps(pace_estimate const& pace, duration usual, time_point startedAt)
{
    duration done { 0 };
    duration spent { 0 };
    while (done < usual) {
        done += duration(milliseconds(1)) * 100 / pace.percentAt(startedAt + spent);
        spent += milliseconds(1);
    }
    return spent;
}

} // namespace

// Guards against a change of decisions at targets that announce no pace.
TEST(PaceEstimate, LeavesWorkAsItIsWithoutAnAnnouncement)
{
    EXPECT_EQ(pace_estimate().timeFor(milliseconds(190), start), milliseconds(190));
    EXPECT_EQ(pace_estimate().percentAt(start), 0u);
    EXPECT_EQ(pace_estimate(0, start), pace_estimate(0, start));
    EXPECT_FALSE(pace_estimate(0, start).isKnown());
    EXPECT_EQ(pace_estimate(100, start).timeFor(milliseconds(190), start), milliseconds(190));
}

// A VM is slow for about 0.6 s: an announcement that is 300 ms old has lost half of its meaning.
TEST(PaceEstimate, ReturnsToTheUsualPaceWithTheAgeOfTheAnnouncement)
{
    pace_estimate const slow(250, start);
    EXPECT_EQ(slow.percentAt(start), 250u);
    EXPECT_EQ(slow.percentAt(start + milliseconds(300)), 175u);
    EXPECT_EQ(slow.percentAt(start + milliseconds(600)), 138u);
    EXPECT_EQ(slow.percentAt(start + seconds(10)), 100u);
    EXPECT_EQ(slow.percentAt(start - milliseconds(1)), 250u) << "an earlier time counts as that of the announcement";
    EXPECT_EQ(pace_estimate(50, start).percentAt(start + milliseconds(300)), 75u);
}

// Guards against an expected time that takes a short slow phase for the pace of the whole work.
TEST(PaceEstimate, ExpectsLongWorkToOutlastTheSlowPhase)
{
    for (std::uint32_t const percent : { 20u, 60u, 140u, 250u, 900u }) {
        for (auto const usual : { milliseconds(5), milliseconds(54), milliseconds(190), milliseconds(460) }) {
            pace_estimate const pace(percent, start);
            auto const at = start + milliseconds(70);
            auto const expected = timeInSteps(pace, usual, at);
            EXPECT_NEAR(toMilliseconds(pace.timeFor(usual, at)), toMilliseconds(expected),
                2 + 0.02 * static_cast<double>(toMilliseconds(expected)))
                << percent << " % for " << usual.count() << " ms";
        }
    }
    auto const longWork = pace_estimate(250, start).timeFor(seconds(600), start);
    EXPECT_GT(longWork, seconds(600));
    EXPECT_LT(longWork, seconds(601));
}

// A service time that was measured in a slow phase and multiplied by the pace again would count the phase twice.
TEST(PaceEstimate, ConvertsMeasuredTimesToTheUsualPace)
{
    EXPECT_EQ(usualTime(milliseconds(475), 250, 250), milliseconds(190));
    EXPECT_EQ(usualTime(milliseconds(475), 0, 0), milliseconds(475));
    EXPECT_EQ(usualTime(milliseconds(350), 250, 0), milliseconds(200));
}

// Guards against calls for a target in a slow phase while an equal one is at its usual pace, and against keeping off it
// after the phase has ended.
TEST(PaceEstimate, LetsTheChooserAvoidATargetInASlowPhase)
{
    chooser_settings settings;
    settings.zone = "a";
    settings.policy = choice_policy::ExpectedFinish;
    target_chooser chooser(settings);
    service_route service;
    for (auto const* id : { "slow", "usual" }) {
        service.targets.push_back({ id, id, "a", id, 1, 6 });
        chooser.didSend(id, start);
        chooser.didEnd(id, attempt_outcome::Answered, 0, start);
        chooser.didReportServiceTime(id, "list", milliseconds(id == std::string("slow") ? 50 : 60));
    }
    auto const choose = [&](time_point now) {
        generator source(1);
        return chooser.chooseFor(service, { "list", milliseconds(200), 400 }, {}, now, source)->id;
    };
    EXPECT_EQ(choose(start), "slow");
    chooser.didReportPace("slow", 250, start);
    EXPECT_EQ(choose(start), "usual");
    EXPECT_EQ(choose(start + seconds(2)), "slow");
    chooser.didReportPace("slow", 0, start);
    EXPECT_EQ(choose(start), "usual") << "an answer without a pace says nothing about it";
}

} // namespace merlinpier
