#include <LibCalls/crashing_requests.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

using origin = crashing_requests::report_origin;
using place = crashing_requests::run_place;

constexpr std::uint64_t request = 7;
constexpr std::uint64_t other = 8;
constexpr time_point start { seconds(100) };

class CrashingRequestsTest : public testing::Test {
protected:
    request_standing standing(std::uint64_t of, time_point at = start) const { return m_requests.standing(of, at); }

    crashing_requests m_requests;
};

} // namespace

TEST_F(CrashingRequestsTest, SuspectsWhatRanAtATargetThatCrashed)
{
    m_requests.didCrash(1, { { request, false }, { other, false } }, start);
    EXPECT_EQ(standing(request), request_standing::Suspect);
    EXPECT_EQ(standing(other), request_standing::Suspect);
    EXPECT_EQ(standing(9), request_standing::Clear);
}

TEST_F(CrashingRequestsTest, BlocksAfterASecondCrashInATrial)
{
    m_requests.didCrash(1, { { request, false } }, start);
    m_requests.didCrash(2, { { request, true } }, start);
    EXPECT_EQ(standing(request), request_standing::Blocked);
    EXPECT_EQ(m_requests.blockedFor(request, start), seconds(60));
    EXPECT_EQ(standing(request, start + seconds(60)), request_standing::Suspect);
    m_requests.didCrash(3, { { request, true } }, start + seconds(61));
    EXPECT_EQ(standing(request, start + seconds(660)), request_standing::Blocked);
    EXPECT_EQ(standing(request, start + seconds(661)), request_standing::Suspect);
}

// Guards the innocent: a rack that fails takes several targets at once, whatever runs there.
TEST_F(CrashingRequestsTest, DoesNotBlockForCrashesOutsideATrial)
{
    for (std::uint64_t crash = 1; crash < 6; ++crash)
        m_requests.didCrash(crash, { { request, false } }, start);
    EXPECT_EQ(standing(request), request_standing::Suspect);
}

TEST_F(CrashingRequestsTest, ClearsWhatEndsWell)
{
    m_requests.didCrash(1, { { request, false } }, start);
    m_requests.didCrash(2, { { request, true } }, start);
    m_requests.didEndWell(request, place::OwnTarget, start);
    EXPECT_EQ(standing(request), request_standing::Clear);
    // A report of a crash that was known at the clearance changes nothing.
    m_requests.learn({ { request, 1, crash_finding::Suspected } }, origin::Other, start);
    EXPECT_EQ(standing(request), request_standing::Clear);
}

// Guards a popular request beside one that nobody has seen end well.
TEST_F(CrashingRequestsTest, BlamesWhatHasNeverEndedWell)
{
    m_requests.didEndWell(other, place::OtherVm, start);
    m_requests.didCrash(1, { { request, false }, { other, false } }, start);
    EXPECT_EQ(standing(request), request_standing::Suspect);
    EXPECT_EQ(standing(other), request_standing::Clear);
    // Its earlier good ends do not excuse it for good.
    m_requests.didCrash(2, { { other, false } }, start);
    EXPECT_EQ(standing(other), request_standing::Suspect);
}

TEST_F(CrashingRequestsTest, CountsACrashOnce)
{
    m_requests.didCrash(1, { { request, false } }, start);
    m_requests.didCrash(1, { { other, false } }, start);
    EXPECT_EQ(standing(other), request_standing::Clear);
    EXPECT_EQ(m_requests.reportsAbout(request).size(), 1u);
}

TEST_F(CrashingRequestsTest, MergesReportsInAnyOrder)
{
    std::vector<crash_report> reports { { request, 1, crash_finding::Suspected }, { request, 2, crash_finding::Tested },
        { request, 1, crash_finding::Cleared }, { request, 3, crash_finding::Suspected } };
    std::sort(reports.begin(), reports.end(),
        [](auto const& first, auto const& second) { return first.crash < second.crash; });
    crashing_requests forwards;
    forwards.learn(reports, origin::Other, start);
    std::reverse(reports.begin(), reports.end());
    crashing_requests backwards;
    backwards.learn(reports, origin::Other, start);
    EXPECT_EQ(forwards.reportsAbout(request), backwards.reportsAbout(request));
    EXPECT_EQ(forwards.standing(request, start), request_standing::Blocked);
    EXPECT_EQ(backwards.standing(request, start), request_standing::Blocked);
}

TEST_F(CrashingRequestsTest, PublishesOwnReportsAndWhatBecameOfThem)
{
    m_requests.didCrash(1, { { request, false } }, start);
    m_requests.learn({ { other, 5, crash_finding::Tested } }, origin::Other, start);
    auto const revision = m_requests.ownRevision();
    EXPECT_EQ(m_requests.ownReports(), (std::vector<crash_report> { { request, 1, crash_finding::Suspected } }));
    m_requests.learn({ { request, 1, crash_finding::Cleared } }, origin::Other, start);
    EXPECT_GT(m_requests.ownRevision(), revision);
    EXPECT_EQ(m_requests.ownReports(), (std::vector<crash_report> { { request, 1, crash_finding::Cleared } }));
    // After a restart, peers hand back what the earlier process published.
    crashing_requests restarted;
    restarted.learn(m_requests.ownReports(), origin::Own, start);
    EXPECT_EQ(restarted.ownReports(), m_requests.ownReports());
}

TEST_F(CrashingRequestsTest, IsBoundedAndForgets)
{
    for (std::uint64_t number = 0; number < 10000; ++number) {
        m_requests.didCrash(number, { { number, false }, { 20000 + number, true } }, start);
        m_requests.didEndWell(30000 + number, place::OwnTarget, start);
    }
    EXPECT_LE(m_requests.suspects(start).size(), 2048u);
    EXPECT_LE(m_requests.ownReports().size(), 64u);
    m_requests.expire(start + seconds(3601));
    EXPECT_TRUE(m_requests.suspects(start).empty());
    EXPECT_TRUE(m_requests.ownReports().empty());
}

TEST_F(CrashingRequestsTest, LiftsABlock)
{
    m_requests.didCrash(1, { { request, false } }, start);
    m_requests.didCrash(2, { { request, true } }, start);
    EXPECT_TRUE(m_requests.lift(request, start));
    EXPECT_EQ(standing(request), request_standing::Clear);
    EXPECT_FALSE(m_requests.lift(request, start));
}

} // namespace merlinpier
