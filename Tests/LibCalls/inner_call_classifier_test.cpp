#include <LibCalls/inner_call_classifier.h>

#include <gtest/gtest.h>

namespace merlinpier {

TEST(InnerCallClassifier, AKindThatArrivesOnlyWhileACallRunsMayBeMadeByTheTarget)
{
    inner_call_classifier classifier;
    for (int i = 0; i < 100; ++i)
        EXPECT_TRUE(classifier.didReceive("hold-check", 1));
    EXPECT_FALSE(classifier.didReceive("hold-check", 0)) << "no call runs that could have made it";
    EXPECT_TRUE(classifier.didReceive("hold-check", 2)) << "a call that was aborted may have made the one before";
}

TEST(InnerCallClassifier, AKindThatAlsoArrivesWhileNoCallRunsIsMadeByClients)
{
    inner_call_classifier classifier;
    for (int i = 0; i < 100; ++i) {
        bool const isIdle = i % 10 == 0;
        bool const mayBeInner = classifier.didReceive("slot-list", isIdle ? 0 : 3);
        EXPECT_TRUE(i < 20 || !mayBeInner) << i;
    }
}

} // namespace merlinpier
