#include <LibDistribution/peer_requests.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr milliseconds timeout { 1000 };
constexpr auto relaysFirst = peer_requests::order::RelaysFirst;
time_point const start { seconds(1000) };

} // namespace

// Failure: a silent relay was waited for to the end although a peer that has the version was known.
TEST(PeerRequests, GivesUpAnUnconfirmedPeerEarlyWhenAnotherHasTheVersion)
{
    peer_requests requests(timeout);
    requests.didApply(1);
    EXPECT_EQ(requests.nextPeer({ "silent" }, relaysFirst, start), "silent");
    requests.recordVersion("informed", 2);
    EXPECT_EQ(requests.nextPeer({ "silent" }, relaysFirst, start + milliseconds(100)), std::nullopt)
        << "an answer may be on its way";
    EXPECT_EQ(requests.nextPeer({ "silent" }, relaysFirst, start + milliseconds(250)), "informed");
    EXPECT_EQ(requests.nextPeer({ "silent" }, relaysFirst, start + milliseconds(900)), std::nullopt)
        << "this peer has advertised the version";
}

// Failure: with nobody else to ask, an unanswered request must not be repeated sooner than before.
TEST(PeerRequests, WaitsForAnUnconfirmedPeerWhenNoOtherHasTheVersion)
{
    peer_requests requests(timeout);
    requests.didApply(1);
    EXPECT_EQ(requests.nextPeer({ "first", "second" }, relaysFirst, start), "first");
    EXPECT_EQ(requests.nextPeer({ "first", "second" }, relaysFirst, start + milliseconds(900)), std::nullopt);
    EXPECT_EQ(requests.nextPeer({ "first", "second" }, relaysFirst, start + timeout), "second");
}

// Failure: a peer that advertised the version after all others had been tried was asked only in the next round.
TEST(PeerRequests, AsksAPeerThatAdvertisesBetweenTwoRounds)
{
    peer_requests requests(timeout);
    requests.didApply(1);
    EXPECT_EQ(requests.nextPeer({ "silent" }, relaysFirst, start), "silent");
    auto const endOfRound = start + timeout;
    EXPECT_EQ(requests.nextPeer({ "silent" }, relaysFirst, endOfRound), std::nullopt);
    requests.recordVersion("informed", 2);
    EXPECT_EQ(requests.nextPeer({}, relaysFirst, endOfRound + milliseconds(10)), "informed");
}

} // namespace merlinpier
