#include <LibNet/frame_reader.h>
#include <LibNet/frame_scheduler.h>
#include <LibNet/part_assembler.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace merlinpier {

namespace {

constexpr time_point start { milliseconds(1000) };
constexpr std::size_t partBytes = 1000;
constexpr frame_scheduler_settings smallParts { .partBytes = partBytes };

bulk_frame due(std::string label, milliseconds after) { return { std::move(label), start + after }; }

// Takes parts, each written at once, until there is none; returns the connections in order.
std::vector<connection_id> writeAll(frame_scheduler& scheduler, time_point now)
{
    std::vector<connection_id> order;
    while (auto const part = scheduler.next(now)) {
        order.push_back(part->connection);
        scheduler.didWrite(part->connection);
    }
    return order;
}

// What the receiver of a connection reads of a part, without the length prefix.
std::string onWire(frame_part const& part)
{
    auto bytes = partPrefix(part) + part.bytes;
    return bytes.substr(framePrefixBytes);
}

std::optional<std::string> accept(part_assembler& assembler, frame_part const& part)
{
    auto result = assembler.add(onWire(part));
    EXPECT_FALSE(result.isError());
    return result.isError() ? std::nullopt : result.releaseValue();
}

} // namespace

// Guards against a large frame that holds the link until its end while one that is due earlier waits.
TEST(FrameScheduler, SendsTheFrameOfTheEarliestDeadlineFirst)
{
    frame_scheduler scheduler(smallParts);
    scheduler.add(1, std::string(3 * partBytes, 'a'), due("late", milliseconds(900)), start);
    auto const first = scheduler.next(start);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->connection, 1U);
    scheduler.didWrite(1);
    scheduler.add(2, std::string(2 * partBytes, 'b'), due("soon", milliseconds(200)), start);
    EXPECT_EQ(writeAll(scheduler, start), (std::vector<connection_id> { 2, 2, 1, 1 }));
    EXPECT_TRUE(scheduler.isEmpty());
    EXPECT_EQ(scheduler.waitingBytes(), 0U);
}

// Guards against a burst of downloads to many peers that fills the VM's link from all their kernel buffers at once.
TEST(FrameScheduler, WritesToFewConnectionsAtATime)
{
    frame_scheduler scheduler(smallParts);
    for (connection_id id = 1; id <= 5; ++id)
        scheduler.add(id, std::string(2 * partBytes, 'a'), due("f", milliseconds(500)), start);
    EXPECT_EQ(scheduler.next(start)->connection, 1U);
    EXPECT_EQ(scheduler.next(start)->connection, 2U);
    EXPECT_FALSE(scheduler.next(start));
    scheduler.didWrite(2);
    EXPECT_EQ(scheduler.next(start)->connection, 2U);
    scheduler.didWrite(2);
    EXPECT_EQ(scheduler.next(start)->connection, 3U);
}

// Guards against peers that read nothing and so hold up the downloads of all others.
TEST(FrameScheduler, PassesOverConnectionsThatHaveStalled)
{
    frame_scheduler scheduler(smallParts);
    for (connection_id id = 1; id <= 3; ++id)
        scheduler.add(id, std::string(2 * partBytes, 'a'), due("f", milliseconds(5000)), start);
    EXPECT_TRUE(scheduler.next(start));
    EXPECT_TRUE(scheduler.next(start));
    EXPECT_FALSE(scheduler.next(start + milliseconds(99)));
    EXPECT_EQ(scheduler.next(start + milliseconds(100))->connection, 3U);
}

// Guards against answers that are sent to callers who have left, and against their memory at both ends.
TEST(FrameScheduler, TellsTheReceiverOfAFrameThatWasWithdrawnHalfSent)
{
    frame_scheduler scheduler(smallParts);
    part_assembler assembler(100 * partBytes);
    scheduler.add(1, std::string(3 * partBytes, 'a'), due("begun", milliseconds(100)), start);
    scheduler.add(1, std::string(3 * partBytes, 'b'), due("waiting", milliseconds(200)), start);
    EXPECT_FALSE(accept(assembler, scheduler.next(start)->part));
    EXPECT_GT(assembler.heldBytes(), 0U);
    scheduler.didWrite(1);
    scheduler.withdraw(1, "begun");
    scheduler.withdraw(1, "waiting");
    EXPECT_EQ(scheduler.waitingBytes(), 0U);
    auto const abandoned = scheduler.next(start);
    ASSERT_TRUE(abandoned);
    EXPECT_TRUE(abandoned->part.isAbandoned);
    EXPECT_FALSE(accept(assembler, abandoned->part));
    EXPECT_EQ(assembler.heldBytes(), 0U);
    scheduler.didWrite(1);
    EXPECT_FALSE(scheduler.next(start));
    EXPECT_TRUE(scheduler.isEmpty());
}

// Guards against a link that is filled with answers whose callers have already got a timeout.
TEST(FrameScheduler, DropsFramesAtTheirDeadline)
{
    frame_scheduler scheduler(smallParts);
    scheduler.add(1, std::string(partBytes, 'a'), due("expired", milliseconds(10)), start);
    scheduler.add(2, std::string(partBytes, 'b'), due("good", milliseconds(50)), start);
    EXPECT_EQ(writeAll(scheduler, start + milliseconds(10)), std::vector<connection_id> { 2 });
    EXPECT_EQ(scheduler.expiredFrames(), 1U);
}

// Guards against parts of one generation of a link that are sent on the next, and against bytes that stay counted.
TEST(FrameScheduler, ForgetsEverythingOfAClosedConnection)
{
    frame_scheduler scheduler(smallParts);
    scheduler.add(1, std::string(3 * partBytes, 'a'), due("f", milliseconds(100)), start);
    scheduler.add(2, std::string(partBytes, 'b'), due("f", milliseconds(100)), start);
    EXPECT_TRUE(scheduler.next(start));
    scheduler.didClose(1);
    EXPECT_EQ(scheduler.waitingBytes(), partBytes);
    EXPECT_EQ(writeAll(scheduler, start), std::vector<connection_id> { 2 });
}

// Guards against answers that are mixed up where parts of many alternate on one connection.
RC_GTEST_PROP(FrameScheduler, EveryFrameArrivesAsItWasSent, ())
{
    frame_scheduler scheduler(smallParts);
    std::map<connection_id, part_assembler> receivers;
    std::multiset<std::string> sent;
    std::multiset<std::string> received;
    auto const steps = *rc::gen::inRange(1, 120);
    char letter = 'a';
    auto const writeOne = [&] {
        auto const part = scheduler.next(start);
        if (!part)
            return false;
        auto& receiver = receivers.try_emplace(part->connection, 100 * partBytes).first->second;
        auto whole = receiver.add(onWire(part->part));
        RC_ASSERT(!whole.isError());
        if (whole.value())
            received.insert(*whole.value());
        scheduler.didWrite(part->connection);
        return true;
    };
    for (int i = 0; i < steps; ++i) {
        if (*rc::gen::inRange(0, 3) > 0) {
            writeOne();
            continue;
        }
        std::string frame(*rc::gen::inRange<std::size_t>(1, 5 * partBytes), letter++);
        sent.insert(frame);
        scheduler.add(*rc::gen::inRange<connection_id>(1, 4), std::move(frame),
            due("f", milliseconds(*rc::gen::inRange(1, 1000))), start);
    }
    while (writeOne()) { }
    RC_ASSERT(received == sent);
    RC_ASSERT(scheduler.isEmpty());
    for (auto const& [id, receiver] : receivers)
        RC_ASSERT(receiver.heldBytes() == 0U);
}

// Guards against a transfer cut short that looks complete.
TEST(PartAssembler, RefusesAFrameThatEndsTooEarly)
{
    part_assembler assembler(10000);
    EXPECT_FALSE(accept(assembler, { .stream = 1, .frameBytes = 300, .bytes = std::string(100, 'a') }));
    frame_part const last { .stream = 1, .frameBytes = 300, .isLast = true, .bytes = std::string(100, 'a') };
    EXPECT_TRUE(assembler.add(onWire(last)).isError());
}

// Guards against a peer that makes this daemon reserve memory without bounds, or write past a frame's end.
TEST(PartAssembler, RefusesMoreBytesThanAreAllowed)
{
    constexpr std::size_t maximum = 1000;
    part_assembler oversized(maximum);
    EXPECT_TRUE(oversized.add(onWire({ .stream = 1, .frameBytes = maximum + 1, .bytes = "a" })).isError());
    part_assembler many(maximum);
    bool isRefused = false;
    for (std::uint32_t stream = 1; stream <= 5 && !isRefused; ++stream)
        isRefused = many.add(onWire({ .stream = stream, .frameBytes = maximum, .bytes = "a" })).isError();
    EXPECT_TRUE(isRefused);
    EXPECT_LE(many.heldBytes(), 4 * maximum);
    part_assembler overlong(maximum);
    EXPECT_FALSE(accept(overlong, { .stream = 1, .frameBytes = 3, .bytes = "ab" }));
    EXPECT_TRUE(overlong.add(onWire({ .stream = 1, .frameBytes = 3, .isLast = true, .bytes = "cd" })).isError());
    part_assembler changed(maximum);
    EXPECT_FALSE(accept(changed, { .stream = 1, .frameBytes = 4, .bytes = "ab" }));
    EXPECT_TRUE(changed.add(onWire({ .stream = 1, .frameBytes = 5, .bytes = "c" })).isError());
    EXPECT_TRUE(part_assembler(maximum).add("short").isError());
}

// Guards against a stream of whole frames in which the flag of a part passes for a size.
TEST(FrameReader, TakesPartsOnlyWhereTheyAreAllowed)
{
    frame_part const part { .stream = 7, .frameBytes = 5, .isLast = true, .bytes = "bytes" };
    auto const bytes = partPrefix(part) + part.bytes;
    frame_reader closed(1000);
    closed.append(bytes.data(), bytes.size());
    EXPECT_FALSE(closed.next());
    EXPECT_TRUE(closed.isOversized());
    frame_reader open(1000, frame_reader::content::Parts);
    open.append(bytes.data(), bytes.size());
    auto const next = open.next();
    ASSERT_TRUE(next);
    EXPECT_TRUE(open.isPart());
    EXPECT_EQ(*next, onWire(part));
    auto const whole = framePrefix(2) + "ab";
    open.append(whole.data(), whole.size());
    EXPECT_EQ(open.next(), "ab");
    EXPECT_FALSE(open.isPart());
}

} // namespace merlinpier
