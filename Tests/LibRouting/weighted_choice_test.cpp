#include <LibRouting/weighted_choice.h>

#include <cmath>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

route makeRoute(std::vector<weighted_service> services, std::string const& name = "r")
{
    route made { "shop.example", "/orders/", std::move(services), {} };
    made.policy.name = name;
    return made;
}

} // namespace

// Guards against bursts to one service: the shares must hold after any number of calls, not only on average.
TEST(WeightedChoice, KeepsEveryShareAfterAnyNumberOfCalls)
{
    auto const split = makeRoute({ { "a", 90 }, { "b", 9 }, { "c", 1 } });
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        generator source(seed);
        weighted_choice weights;
        std::map<std::string, double> counts;
        for (int call = 1; call <= 1000; ++call) {
            ++counts[weights.choose(split, source)];
            EXPECT_LE(std::abs(counts["a"] - 0.90 * call), 2) << "seed " << seed << ", call " << call;
            EXPECT_LE(std::abs(counts["b"] - 0.09 * call), 2) << "seed " << seed << ", call " << call;
            EXPECT_LE(std::abs(counts["c"] - 0.01 * call), 2) << "seed " << seed << ", call " << call;
        }
    }
}

TEST(WeightedChoice, ChoosesNoServiceOfWeightZero)
{
    generator source(1);
    weighted_choice weights;
    auto const split = makeRoute({ { "a", 1 }, { "b", 0 } });
    for (int call = 0; call < 10; ++call)
        EXPECT_EQ(weights.choose(split, source), "a");
    EXPECT_EQ(weights.choose(makeRoute({ { "a", 0 }, { "b", 0 } }, "none"), source), "");
}

TEST(WeightedChoice, FollowsNewWeightsAtOnce)
{
    generator source(1);
    weighted_choice weights;
    weights.choose(makeRoute({ { "a", 1 }, { "b", 1 } }), source);
    int chosen = 0;
    for (int call = 0; call < 100; ++call)
        chosen += weights.choose(makeRoute({ { "a", 1 }, { "b", 99 } }), source) == "b";
    EXPECT_GE(chosen, 98);
}

} // namespace merlinpier
