#include <LibDistribution/distributor.h>
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

TEST(SidecarSettings, LeavesTimeBetweenTheStopAndTheKill)
{
    platform_settings given;
    given.stopGrace = milliseconds(6000);
    auto const settings = daemonSettingsFrom(given, 9464);
    EXPECT_GE(settings.leaveNotice, milliseconds(2000)) << "clients are sent elsewhere after two missed questions";
    EXPECT_LT(settings.drainTimeout, given.stopGrace);
}

} // namespace merlinpier::platform
