#include <Tests/LibCalls/trace_replay.h>

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

// Replays every trace of Tests/Traces whose "decides" names one side of a call.
TEST(Trace, EveryCallTraceGivesItsExpectedActions)
{
    int replayed = 0;
    for (auto const& file : std::filesystem::directory_iterator(MERLINPIER_SOURCE_DIR "/Tests/Traces")) {
        std::ifstream stream(file.path());
        auto const trace = nlohmann::json::parse(stream);
        std::string const decides = trace.value("decides", "");
        if (decides != "first daemon" && decides != "target's daemon")
            continue;
        ++replayed;
        for (auto const& step : fixture::replayTrace(trace))
            EXPECT_EQ(step.actual, step.expected) << file.path().filename() << " at " << step.event;
    }
    EXPECT_GE(replayed, 20) << "traces are missing";
}

} // namespace merlinpier
