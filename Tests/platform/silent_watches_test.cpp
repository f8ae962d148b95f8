#include <Tests/LibConfiguration/configuration_samples.h>
#include <Tests/LibDistribution/distribution_simulation.h>
#include <gtest/gtest.h>
#include <platform/sidecar_settings.h>
#include <string>

// The connections of all watches on the platform go silent at once. After each change, the relays' watches begin at the
// same moment, so all of them are silent for the whole time of a watch.

namespace merlinpier {

namespace {

constexpr int zoneCount = 4;
constexpr int relaysPerZone = 2;
// A version that is accepted right after the silence has to be in force when the VMs count as connected again. The
// simulation carries it in no time; real links need up to the transfer time.
constexpr milliseconds acceptedAfterSilence { 100 };
constexpr milliseconds connectedAfterSilence { 3000 };
constexpr milliseconds transferTime { 500 };
constexpr int seeds = 40;

std::string relayName(int zone, int number)
{
    return std::string(1, static_cast<char>('a' + zone)) + std::to_string(number);
}

distribution_peers peersOf(int zone, int number)
{
    distribution_peers peers;
    peers.isRelay = true;
    for (int other = 0; other < relaysPerZone; ++other) {
        if (other == number)
            continue;
        peers.relays.push_back(relayName(zone, other));
        peers.subscribers.push_back(relayName(zone, other));
    }
    for (int other = 0; other < zoneCount; ++other) {
        if (other != zone)
            peers.remoteRelays.push_back(relayName(other, number));
    }
    return peers;
}

std::vector<questionnaire> answersWith(int number)
{
    auto slots = sampleAnswers("slots");
    slots.owner = "team " + std::to_string(number);
    return { sampleAnswers("bookings"), slots };
}

} // namespace

// Guards against a version that is in force too late because every relay waits for the end of a silent watch.
TEST(SilentWatches, AVersionIsInForceInTimeAlthoughAllWatchesWentSilent)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        distribution_simulation simulation(static_cast<std::uint64_t>(seed));
        simulation.settings = platform::daemonSettingsFrom({}, 0).distribution;
        for (int zone = 0; zone < zoneCount; ++zone) {
            for (int number = 0; number < relaysPerZone; ++number)
                simulation.start(relayName(zone, number), peersOf(zone, number));
        }
        auto const first = simulation.commit(answersWith(1));
        simulation.run(seconds(1));
        ASSERT_TRUE(simulation.allApplied(first));
        // All relays learn of a change at the same moment and begin their next watches together.
        simulation.commit(answersWith(2));
        simulation.run(simulation.settings.watchDelayAfterChange + milliseconds(50));
        simulation.silenceOpenWatches();
        simulation.run(acceptedAfterSilence);
        auto const last = simulation.commit(answersWith(3));
        simulation.run(connectedAfterSilence - transferTime - acceptedAfterSilence);
        EXPECT_TRUE(simulation.allApplied(last)) << "seed " << seed;
    }
}

} // namespace merlinpier
