#include <LibDistribution/distributor.h>
#include <Tests/LibRouting/fleet_fixture.h>
#include <platform/platform_store.h>
#include <platform/sidecar_settings.h>

#include <gtest/gtest.h>

namespace merlinpier::platform {

namespace {

// Records the time-out of each request. The first, a reading, is told that nothing was written yet; no other is
// answered.
class silent_client final : public http_client {
public:
    http_exchange_id send(http_client_request request, http_callback callback) override
    {
        timeouts.push_back(request.timeout);
        if (timeouts.size() == 1)
            callback(http_response { 404, {}, R"({"current_rev":3})" });
        return timeouts.size();
    }
    void cancel(http_exchange_id) override { }

    std::vector<milliseconds> timeouts;
};

} // namespace

// A store that goes silent and comes back forgets the watches that were waiting, and their connections stay open. From
// three seconds after its return on, versions have to be in force in time again.
TEST(SidecarSettings, EndsAWatchThatTheStoreForgotWithinThreeSeconds)
{
    platform_settings given;
    given.ipNumber = "10.0.0.1";
    given.peerAddress = "10.0.0.1:7000";
    auto const settings = daemonSettingsFrom(given, 9464);
    silent_client client;
    platform_store store(client, "10.0.0.9:1");
    store.watch("config/head", 5, settings.distribution.watchTimeout, [](auto const&) {});
    ASSERT_EQ(client.timeouts.size(), 2u);
    EXPECT_LE(client.timeouts[1], milliseconds(3000));
}

// A member of a large zone hears of a version by a heartbeat's answer, at most a second after its acknowledgement; its
// relays were killed. What is left until the version has to be in force, two seconds after the acknowledgement, must be
// enough to turn to the peer that has it.
TEST(SidecarSettings, TurnsFromASilentRelayToAPeerThatHasTheVersion)
{
    platform_settings given;
    given.ipNumber = "10.0.0.1";
    given.peerAddress = "10.0.0.1:7000";
    distributor member(daemonSettingsFrom(given, 9464).distribution);
    member.setPeers({ .isRelay = false, .relays = { "10.0.0.2:7000" } });
    generator random(1);
    time_point const heard { milliseconds(1000) };
    std::map<std::string, time_point> asked;
    auto const note = [&](std::vector<distribution_action> const& actions, time_point now) {
        for (auto const& action : actions) {
            auto const* sent = std::get_if<send_message>(&action);
            if (sent && std::holds_alternative<configuration_request>(sent->content))
                asked.try_emplace(sent->address, now);
        }
    };
    note(member.didHearVersion("10.0.0.3:7000", 7, heard), heard);
    for (auto now = heard; now < heard + milliseconds(3000); now += milliseconds(25))
        note(member.tick(now, random), now);
    ASSERT_TRUE(asked.contains("10.0.0.2:7000"));
    ASSERT_TRUE(asked.contains("10.0.0.3:7000"));
    EXPECT_LT(asked["10.0.0.3:7000"] - heard, milliseconds(1500));
}

// Guards against a version that is late because its push was lost: the relay that has pushed it names it in its next
// heartbeat's answer, up to 1.1 s later. Of the 2.5 s that a version may take, 0.5 s are for its transfer, and a
// request to another relay that does not answer takes 0.5 s.
TEST(SidecarSettings, AsksForAVersionAtOnceWhosePushWasMissed)
{
    platform_settings given;
    given.ipNumber = "10.0.0.1";
    given.peerAddress = "10.0.0.1:7000";
    auto const settings = daemonSettingsFrom(given, 9464).distribution;
    distributor member(settings);
    auto const first = fixture::makeConfiguration({ fixture::makeService("slots", { "L" }) }, 1);
    member.setPeers({ .isRelay = false, .relays = { "10.0.0.2:7000", "10.0.0.3:7000" } });
    time_point const now { milliseconds(1000) };
    member.didReceive("10.0.0.3:7000",
        configuration_answer { 1, serializeManifest(first->versionManifest()), first->fragmentsExcept({}) }, now);
    ASSERT_EQ(member.store().applied()->version(), 1u);
    auto const sent = member.didMissPush("10.0.0.3:7000", 7, now);
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(std::get<send_message>(sent[0]).address, "10.0.0.3:7000") << "the other relay may be gone";
    EXPECT_TRUE(member.didHearVersion("10.0.0.2:7000", 8, now).empty()) << "one request at a time";
}

TEST(SidecarSettings, LeavesTimeBetweenTheStopAndTheKill)
{
    platform_settings given;
    given.stopGrace = milliseconds(6000);
    auto const settings = daemonSettingsFrom(given, 9464);
    EXPECT_GE(settings.leaveNotice, milliseconds(2000)) << "clients are sent elsewhere after two missed questions";
    EXPECT_LT(settings.drainTimeout, given.stopGrace);
}

// Failure: the option changes the order at the target's daemon, but retries follow the other one.
TEST(SidecarSettings, PassesTheServiceOrderToBothSidesOfCalls)
{
    platform_settings given;
    EXPECT_EQ(daemonSettingsFrom(given, 9464).server.order, order_choice::Automatic);
    given.commandLine.serviceOrder = order_choice::Deadline;
    EXPECT_EQ(daemonSettingsFrom(given, 9464).server.order, order_choice::Deadline);
    EXPECT_EQ(daemonSettingsFrom(given, 9464).client.order, order_choice::Deadline);
}

} // namespace merlinpier::platform
