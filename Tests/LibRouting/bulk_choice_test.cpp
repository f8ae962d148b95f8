#include <LibRouting/link_load.h>
#include <LibRouting/target_chooser.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto now = time_point(seconds(1000));
constexpr std::uint32_t linkMbps = 17;
constexpr std::size_t downloadBytes = 90'000;
call_demand const download { .kind = "fetch", .objective = milliseconds(800), .bytes = downloadBytes, .isBulk = true };

route_target makeTarget(std::string const& id, std::string const& zone)
{
    return { id, id, zone, id, 1, 6, "", linkMbps };
}

target_chooser makeChooser()
{
    chooser_settings settings;
    settings.zone = "a";
    settings.vm = "own";
    settings.policy = choice_policy::ExpectedFinish;
    return target_chooser(settings);
}

void report(target_chooser& chooser, std::string const& target, milliseconds serviceTime)
{
    chooser.didSend(target, now);
    chooser.didEnd(target, attempt_outcome::Answered, 0, now);
    chooser.didReportServiceTime(target, "fetch", serviceTime);
}

std::string choose(target_chooser const& chooser, service_route const& service, call_demand const& demand)
{
    generator source(1);
    return chooser.chooseFor(service, demand, {}, now, source)->id;
}

} // namespace

TEST(LinkLoad, CountsTheBytesAhead)
{
    link_load link(linkMbps);
    auto const alone = link.timeToPass(downloadBytes);
    EXPECT_GT(alone, milliseconds(42));
    EXPECT_LT(alone, milliseconds(60));
    link.didBegin(3 * downloadBytes);
    EXPECT_NEAR(std::chrono::duration<double>(link.timeToPass(downloadBytes)).count(),
        4 * std::chrono::duration<double>(alone).count(), 0.001);
    link.didEnd(4 * downloadBytes);
    EXPECT_EQ(link.bytesUnderWay(), 0U);
}

// Guards against deployments that do not tell the speed of their links, whose calls must not be refused for it.
TEST(LinkLoad, TakesALinkOfUnknownSpeedToBeNeverShort)
{
    EXPECT_EQ(link_load(0).timeToPass(1'000'000'000), duration::zero());
}

// Guards against downloads that pass the link of another VM although the own one has the target, or that go to a target
// whose slots are free while its link is full.
TEST(BulkChoice, PrefersTheOwnVmAndThenTheLinkWithFewerBytes)
{
    auto chooser = makeChooser();
    service_route service;
    service.targets = { makeTarget("busy", "a"), makeTarget("own", "a"), makeTarget("quiet", "a") };
    for (auto const& target : service.targets)
        report(chooser, target.id, milliseconds(88));
    EXPECT_EQ(choose(chooser, service, download), "own");

    std::erase_if(service.targets, [](auto const& target) { return target.id == "own"; });
    chooser.didSendBulk(service.targets[0], 5 * downloadBytes);
    EXPECT_EQ(chooser.bulkBytesUnderWay("busy"), 5 * downloadBytes);
    EXPECT_EQ(choose(chooser, service, download), "quiet");
    chooser.didEndBulk(service.targets[0], 5 * downloadBytes);
    chooser.didSendBulk(service.targets[1], downloadBytes);
    EXPECT_EQ(choose(chooser, service, download), "busy");
}

// Guards against a choice for small calls that changes with downloads under way.
TEST(BulkChoice, SmallCallsIgnoreTheLinks)
{
    auto chooser = makeChooser();
    service_route service;
    service.targets = { makeTarget("x", "a"), makeTarget("y", "a") };
    report(chooser, "x", milliseconds(40));
    report(chooser, "y", milliseconds(50));
    chooser.didSendBulk(service.targets[0], 50 * downloadBytes);
    EXPECT_EQ(choose(chooser, service, { "fetch", milliseconds(200), 400 }), "x");
}

} // namespace merlinpier
