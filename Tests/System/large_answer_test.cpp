#include "cluster.h"

#include <LibCore/digest.h>
#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace merlinpier {

namespace {

constexpr std::size_t kilobyte = 1000;
constexpr std::array<std::size_t, 4> answerKilobytes { 90, 90, 180, 540 };
constexpr int rounds = 15;
// Callers at once at one daemon, as many as a target's slots serve in a burst.
constexpr int callers = 8;
// Measured: 1.6 MB at the caller's daemon, 3.1 to 3.8 MB at the target's.
constexpr std::size_t maximumGrowthKilobytes = 5 * 1024;

std::vector<http_field> paddingHeaders(std::size_t bytes, int seed)
{
    return { { "Padding-Bytes", std::to_string(bytes) }, { "Padding-Seed", std::to_string(seed) } };
}

} // namespace

// Guards against buffers and copies that keep the memory of answers after they were sent: downloads of 90 to 540 KB
// through one daemon, from a target at another, must not raise the peak resident set of either by many answers' size.
TEST(LargeAnswers, DaemonsHoldFewOfThemAtATime)
{
    cluster processes;
    processes.startPlatform();
    processes.startDaemons();
    auto const accepted = processes.submitFile(1, "examples/targowisko/zones.json");
    ASSERT_FALSE(accepted.isError()) << accepted.failure().text();
    ASSERT_TRUE(processes.waitInForce(0, 1));
    auto const service = processes.read(processes.httpAddress(0), "/config/services/zones");
    auto const licence = service["answers"]["licences"][0].get<std::string>();
    auto const& entry = service["answers"]["entry_points"][0];
    processes.startTarget(1, "zones", licence, { "--slots", std::to_string(callers) });
    ASSERT_TRUE(processes.waitForTargets(0, "zones", 1));
    auto const path = "/call/zones" + entry["path"].get<std::string>();
    auto const method = entry["method"].get<std::string>();

    auto const quietCaller = processes.daemonProcess(0).peakResidentKilobytes();
    auto const quietTarget = processes.daemonProcess(1).peakResidentKilobytes();
    std::atomic<int> whole = 0;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int round = 0; round < rounds; ++round) {
                auto const bytes = answerKilobytes[static_cast<std::size_t>(round) % answerKilobytes.size()] * kilobyte;
                auto const answer = processes.send(
                    processes.httpAddress(0), method, path, "", paddingHeaders(bytes, caller * rounds + round));
                if (!answer.isError() && answer.value().status == 200 && answer.value().body.size() > bytes)
                    ++whole;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto const busyCaller = processes.daemonProcess(0).peakResidentKilobytes();
    auto const busyTarget = processes.daemonProcess(1).peakResidentKilobytes();
    std::cout << "peak resident set in KB: caller's daemon " << quietCaller << " -> " << busyCaller
              << ", target's daemon " << quietTarget << " -> " << busyTarget << ", whole answers " << whole << "\n";
    EXPECT_EQ(whole, callers * rounds);
    EXPECT_LE(busyCaller, quietCaller + maximumGrowthKilobytes);
    EXPECT_LE(busyTarget, quietTarget + maximumGrowthKilobytes);
}

} // namespace merlinpier
