#include <LibCalls/local_targets.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr auto start = time_point(seconds(100));

target_announcement makeAnnouncement(std::string id = "slots-1", std::string licence = "L1")
{
    return { std::move(id), "slots", std::move(licence), "127.0.0.1:9000", target_state::Ready };
}

} // namespace

TEST(LocalTargets, EndsAnAnnouncementThatIsNotRenewed)
{
    local_targets targets(milliseconds(3000));
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 0, start).isError());
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 9, start + seconds(2)).isError());
    targets.tick(start + milliseconds(4999));
    ASSERT_NE(targets.find("slots-1"), nullptr);
    EXPECT_EQ(targets.records(*configuration_set::createEmpty())[0].claim, 1u) << "a renewal claims anew";
    targets.tick(start + seconds(5));
    EXPECT_EQ(targets.find("slots-1"), nullptr);
}

TEST(LocalTargets, KeepsADrainThroughRenewals)
{
    local_targets targets;
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 0, start).isError());
    EXPECT_FALSE(targets.drain("slots-1", start).isError());
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 0, start).isError());
    EXPECT_EQ(targets.find("slots-1")->state, target_state::Draining);
    EXPECT_EQ(targets.drain("slots-2", start).failure().kind, error_kind::NotFound);
    EXPECT_FALSE(targets.leave("slots-1", start).isError());
    EXPECT_EQ(targets.find("slots-1"), nullptr);
}

TEST(LocalTargets, RefusesMalformedAnnouncementsAndALicenceInUse)
{
    local_targets targets;
    for (auto const* address : { "", "localhost:9000", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "1.2.3:80" }) {
        auto announcement = makeAnnouncement();
        announcement.address = address;
        EXPECT_EQ(targets.announce(announcement, 0, start).failure().kind, error_kind::BadInput) << address;
    }
    EXPECT_EQ(targets.announce(makeAnnouncement("", "L1"), 0, start).failure().kind, error_kind::BadInput);
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 0, start).isError());
    EXPECT_EQ(targets.announce(makeAnnouncement("slots-2"), 0, start).failure().kind, error_kind::Conflict);
}

TEST(LocalTargets, GivesWayToAHigherClaimUntilItAnnouncesAfresh)
{
    local_targets targets(milliseconds(3000));
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 4, start).isError());
    targets.didLoseClaim("L1", 5);
    EXPECT_EQ(targets.find("slots-1")->state, target_state::Ready) << "an equal claim is not a higher one";
    targets.didLoseClaim("L1", 6);
    EXPECT_EQ(targets.find("slots-1")->state, target_state::Gone);
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 6, start).isError());
    EXPECT_EQ(targets.find("slots-1")->state, target_state::Gone) << "a renewal takes the licence back";
    EXPECT_FALSE(targets.leave("slots-1", start).isError());
    EXPECT_FALSE(targets.announce(makeAnnouncement(), 6, start).isError());
    EXPECT_EQ(targets.records(*configuration_set::createEmpty())[0].claim, 7u);
}

} // namespace merlinpier
