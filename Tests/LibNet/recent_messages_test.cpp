#include <LibNet/recent_messages.h>
#include <gtest/gtest.h>

namespace merlinpier {

namespace {

constexpr time_point start { milliseconds(1000) };
constexpr milliseconds retention { 100 };

} // namespace

// Guards against messages that are kept for as long as nothing else is sent on their connection: at about a hundred
// connections, they made up a megabyte.
TEST(RecentMessages, ForgetsExpiredMessagesOfQuietConnections)
{
    recent_messages messages(retention, 1000);
    messages.didSend(1, "old", start);
    messages.didSend(2, "new", start + retention);
    messages.expire(start + retention + milliseconds(1));
    // Asked about an earlier time, only what was dropped is missing.
    EXPECT_EQ(messages.take(1, start), std::vector<std::string> {});
    EXPECT_EQ(messages.take(2, start + retention), std::vector<std::string> { "new" });
}

} // namespace merlinpier
