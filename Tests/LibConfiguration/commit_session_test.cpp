#include <LibConfiguration/commit_session.h>

#include <LibCore/digest.h>
#include <Tests/LibConfiguration/configuration_samples.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace merlinpier {

namespace {

// Runs sessions against objects in memory, performing one call at a time, with injected failures.
class session_driver {
public:
    std::map<std::string, stored_object> objects;
    // Errors to inject and how often, by "read KEY", "write KEY" for a write without effect, and "answer KEY" for a
    // write that takes effect.
    std::map<std::string, std::pair<error_kind, int>> failures;
    std::vector<std::string> reads;
    std::vector<std::string> writes;
    std::vector<duration> waits;

    commit_action run(submission request, duration timeout = seconds(10),
        std::shared_ptr<configuration_set const> appliedSet = nullptr)
    {
        commit_session session(std::move(request), m_now + timeout, std::move(appliedSet));
        auto actions = session.start(m_now);
        while (true) {
            std::vector<commit_action> next;
            for (auto const& action : actions) {
                if (std::holds_alternative<commit_accepted>(action) || std::holds_alternative<commit_failed>(action))
                    return action;
                auto more = perform(session, action);
                next.insert(next.end(), more.begin(), more.end());
            }
            actions = std::move(next);
        }
    }

    accepted_submission expectAccepted(submission const& request)
    {
        auto const outcome = run(request);
        auto const* failed = std::get_if<commit_failed>(&outcome);
        EXPECT_EQ(failed, nullptr) << failed->reason.text();
        return failed ? accepted_submission() : std::get<commit_accepted>(outcome).accepted;
    }

    error expectFailed(submission const& request, duration timeout = seconds(10))
    {
        auto const outcome = run(request, timeout);
        EXPECT_TRUE(std::holds_alternative<commit_failed>(outcome));
        return std::holds_alternative<commit_failed>(outcome) ? std::get<commit_failed>(outcome).reason : error();
    }

    std::shared_ptr<configuration_set const> current() const
    {
        auto const head = parseHead(objects.at(headKey).value).releaseValue();
        auto const versionManifest = parseManifest(objects.at(manifestKey(head.manifestDigest)).value).releaseValue();
        std::vector<wire_fragment> fragments;
        for (auto const& entry : versionManifest.entries)
            fragments.push_back({ entry.service, entry.digest, objects.at(fragmentKey(entry.digest)).value });
        return configuration_set::tryCreate(versionManifest, fragments).releaseValue();
    }

private:
    std::vector<commit_action> perform(commit_session& session, commit_action const& action)
    {
        if (auto const* wait = std::get_if<wait_before_retry>(&action)) {
            waits.push_back(wait->delay);
            m_now += wait->delay;
            return session.tick(m_now, m_generator);
        }
        if (auto const* readAction = std::get_if<read_object>(&action)) {
            reads.push_back(readAction->key);
            return session.didRead(readAction->key, read(readAction->key), m_now, m_generator);
        }
        auto const& writeAction = std::get<write_object>(action);
        writes.push_back(writeAction.key);
        return session.didWrite(writeAction.key, write(writeAction), m_now, m_generator);
    }

    bool consumeFailure(std::string const& key)
    {
        auto const found = failures.find(key);
        return found != failures.end() && found->second.second-- > 0;
    }

    result<std::optional<stored_object>> read(std::string const& key)
    {
        if (consumeFailure("read " + key))
            return error { failures["read " + key].first, "injected", "" };
        auto const found = objects.find(key);
        return found == objects.end() ? std::optional<stored_object>() : std::optional<stored_object>(found->second);
    }

    result<stored_object> write(write_object const& writeAction)
    {
        if (consumeFailure("write " + writeAction.key))
            return error { failures["write " + writeAction.key].first, "injected", "" };
        auto const found = objects.find(writeAction.key);
        if (writeAction.condition.expectedRevision.value() != (found == objects.end() ? 0 : found->second.revision))
            return error { error_kind::Conflict, "the revision differs", "" };
        stored_object const object { writeAction.key, ++m_revision, writeAction.value };
        objects[writeAction.key] = object;
        if (consumeFailure("answer " + writeAction.key))
            return error { failures["answer " + writeAction.key].first, "injected", "" };
        return object;
    }

    time_point m_now {};
    std::uint64_t m_revision { 0 };
    generator m_generator { 1 };
};

submission submit(std::string const& id, questionnaire const& answers, std::optional<std::uint64_t> base = {})
{
    return { id, submission_kind::Submit, answers.service, answers, base };
}

submission removal(std::string const& id, std::string const& service, std::optional<std::uint64_t> base = {})
{
    return { id, submission_kind::Remove, service, {}, base };
}

} // namespace

TEST(CommitSession, AcceptsTheExamplesOfBothDeploymentsInOrder)
{
    for (auto const& [folder, order] :
        std::map<std::string, std::vector<std::string>> { { "targowisko", { "zones", "slots", "bookings" } },
            { "steadyhand", { "schedules", "jobdesk", "bookings" } } }) {
        session_driver driver;
        version_number version = 0;
        for (auto const& name : order) {
            auto const answers = exampleAnswers(folder + "/" + name).releaseValue();
            auto const accepted = driver.expectAccepted(submit("id-" + name, answers, 0));
            EXPECT_EQ(accepted, (accepted_submission { "id-" + name, ++version, name, 1, answers.owner }));
        }
        EXPECT_EQ(driver.current()->services().size(), 3u);
        EXPECT_EQ(driver.current()->service("bookings")->answers, exampleAnswers(folder + "/bookings").value());
    }
}

TEST(CommitSession, WritesOnlyNewObjectsAndReadsNoFragmentOfTheAppliedSet)
{
    session_driver driver;
    driver.expectAccepted(submit("a", sampleAnswers("slots")));
    driver.expectAccepted(submit("b", sampleAnswers("zones")));
    auto const appliedSet = driver.current();
    driver.reads.clear();
    driver.writes.clear();
    auto changed = sampleAnswers("zones");
    changed.slotsPerCopy = 7;
    driver.run(submit("c", changed, 1), seconds(10), appliedSet);
    auto const after = driver.current();
    EXPECT_EQ(driver.reads, std::vector<std::string> { headKey });
    std::vector<std::string> expected { fragmentKey(after->versionManifest().entries[1].digest),
        manifestKey(after->digest()), headKey };
    EXPECT_EQ(driver.writes, expected);
}

TEST(CommitSession, RecognizesItsOwnCommitAfterALostAnswerAndWhenRepeated)
{
    session_driver driver;
    driver.failures["answer config/head"] = { error_kind::OutcomeUnknown, 1 };
    auto const first = driver.expectAccepted(submit("a", sampleAnswers("slots"), 0));
    EXPECT_EQ(first.version, 1u);
    driver.expectAccepted(submit("b", sampleAnswers("zones"), 0));
    // A repeat gets the outcome of the first attempt, although its base revision is no longer current.
    EXPECT_EQ(driver.expectAccepted(submit("a", sampleAnswers("slots"), 0)), first);
    EXPECT_EQ(driver.current()->version(), 2u);
    EXPECT_EQ(driver.expectFailed(submit("a", sampleAnswers("bookings"))).kind, error_kind::BadInput);
}

TEST(CommitSession, ReadsBackObjectsOfUnknownWriteOutcomeBeforeWritingThemAgain)
{
    constexpr int always = 1000000;
    session_driver driver;
    auto const set = buildSet(1, { sampleAnswers("slots") }).value();
    for (auto const& key : { manifestKey(set->digest()), fragmentKey(set->digests()[0]), std::string(headKey) })
        driver.failures["answer " + key] = { error_kind::OutcomeUnknown, always };
    // The first write of the manifest has no effect.
    driver.failures["write " + manifestKey(set->digest())] = { error_kind::OutcomeUnknown, 1 };
    EXPECT_EQ(driver.expectAccepted(submit("a", sampleAnswers("slots"))).version, 1u);
    EXPECT_EQ(std::count(driver.writes.begin(), driver.writes.end(), fragmentKey(set->digests()[0])), 1);
    EXPECT_EQ(std::count(driver.writes.begin(), driver.writes.end(), manifestKey(set->digest())), 2);
}

TEST(CommitSession, ListsABoundedNumberOfSubmissionsInTheHead)
{
    session_driver driver;
    for (std::size_t number = 0; number <= maximumRecentSubmissions; ++number)
        driver.expectAccepted(submit("id-" + std::to_string(number), sampleAnswers("slots"), number));
    auto const head = parseHead(driver.objects.at(headKey).value).value();
    EXPECT_EQ(head.recent.size(), maximumRecentSubmissions);
    EXPECT_FALSE(head.listsVersion(1));
    EXPECT_TRUE(head.listsVersion(2));
    EXPECT_EQ(driver.expectAccepted(submit("id-1", sampleAnswers("slots"), 1)).version, 2u);
    // The submission that the head no longer lists is treated as new and conflicts with its successors.
    EXPECT_EQ(driver.expectFailed(submit("id-0", sampleAnswers("slots"), 0)).kind, error_kind::Conflict);
}

TEST(CommitSession, BacksOffWhileThePlatformIsUnavailableOrLimitsTheRate)
{
    for (auto const kind : { error_kind::Unavailable, error_kind::RateLimited, error_kind::DeadlineExceeded }) {
        session_driver driver;
        driver.failures["read config/head"] = { kind, 4 };
        driver.failures["write config/head"] = { kind, 2 };
        EXPECT_EQ(driver.expectAccepted(submit("a", sampleAnswers("slots"))).version, 1u);
        EXPECT_EQ(driver.waits.size(), 6u);
        // The bounds of four consecutive failures are 50, 100, 200 and 400 ms.
        for (std::size_t number = 0; number < 4; ++number)
            EXPECT_LE(driver.waits[number], milliseconds(50 << number));
    }
}

TEST(CommitSession, FailsAtItsDeadlineAndReportsWhetherItMayHaveCommitted)
{
    constexpr int always = 1000000;
    session_driver down;
    down.failures["read config/head"] = { error_kind::Unavailable, always };
    EXPECT_EQ(down.expectFailed(submit("a", sampleAnswers("slots"))).kind, error_kind::Unavailable);
    EXPECT_LT(down.waits.size(), 100u);

    // The update of the head is not answered.
    commit_session session(submit("b", sampleAnswers("slots")), time_point() + seconds(1));
    generator source(1);
    session.start(time_point());
    auto const readHead = session.didRead(headKey, std::optional<stored_object>(), time_point(), source);
    for (auto const& action : readHead) {
        auto const& key = std::get<write_object>(action).key;
        session.didWrite(key, stored_object { key, 1, "" }, time_point(), source);
    }
    auto const outcome = session.tick(time_point() + seconds(1), source);
    ASSERT_EQ(outcome.size(), 1u);
    EXPECT_EQ(std::get<commit_failed>(outcome[0]).reason.kind, error_kind::OutcomeUnknown);
    EXPECT_TRUE(session.didWrite(headKey, stored_object { headKey, 2, "" }, time_point(), source).empty());
}

TEST(CommitSession, AnUnchangedHeadDoesNotProveThatALostUpdateHasNoEffect)
{
    // The answer to the first update is lost, and the update may still take effect; then the platform is unavailable.
    commit_session session(submit("a", sampleAnswers("slots")), time_point() + seconds(1));
    generator source(1);
    time_point const now {};
    std::optional<stored_object> const noHead;
    error const lost { error_kind::OutcomeUnknown, "lost", "" };
    error const down { error_kind::Unavailable, "down", "" };
    session.start(now);
    for (auto const& action : session.didRead(headKey, noHead, now, source))
        session.didWrite(std::get<write_object>(action).key, stored_object {}, now, source);
    session.didWrite(headKey, lost, now, source);
    session.tick(now + milliseconds(100), source);
    auto const again = session.didRead(headKey, noHead, now, source);
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(std::get<write_object>(again[0]).key, headKey);
    session.didWrite(headKey, down, now, source);
    auto const outcome = session.tick(now + seconds(1), source);
    EXPECT_EQ(std::get<commit_failed>(outcome.at(0)).reason.kind, error_kind::OutcomeUnknown);
}

TEST(CommitSession, RefusesAnInvalidChangeWithoutWritingObjects)
{
    session_driver driver;
    auto bookings = sampleAnswers("bookings");
    bookings.dependencies = { "slots" };
    EXPECT_NE(driver.expectFailed(submit("a", bookings)).message.find("depends on \"slots\""), std::string::npos);
    EXPECT_TRUE(driver.objects.empty());
    driver.expectAccepted(submit("b", sampleAnswers("slots")));
    driver.expectAccepted(submit("c", bookings));
    auto const before = driver.objects;
    auto const refused = driver.expectFailed(removal("d", "slots", 1));
    EXPECT_EQ(refused.kind, error_kind::BadInput);
    EXPECT_NE(refused.message.find("bookings"), std::string::npos);
    EXPECT_EQ(driver.expectFailed(removal("e", "zones")).kind, error_kind::NotFound);
    EXPECT_EQ(driver.expectFailed(removal("f", "bookings", 7)).kind, error_kind::Conflict);
    EXPECT_EQ(driver.expectFailed(submit("no id!", sampleAnswers("zones"))).kind, error_kind::BadInput);
    EXPECT_EQ(driver.objects, before);
}

TEST(CommitSession, AServiceSubmittedAgainReusesNoRevisionOfTheRemovedOne)
{
    session_driver driver;
    driver.expectAccepted(submit("a", sampleAnswers("slots"), 0));
    driver.expectAccepted(submit("b", sampleAnswers("slots"), 1));
    EXPECT_EQ(driver.expectAccepted(removal("c", "slots", 2)).revision, 3u);
    EXPECT_EQ(driver.expectAccepted(submit("d", sampleAnswers("slots"), 0)).revision, 4u);
    EXPECT_EQ(driver.expectFailed(submit("e", sampleAnswers("slots"), 1)).kind, error_kind::Conflict);
}

TEST(CommitSession, RefusesPlatformObjectsThatAreDamagedOrOlderThanTheAppliedSet)
{
    session_driver driver;
    driver.expectAccepted(submit("a", sampleAnswers("slots")));
    auto const older = driver.objects;
    driver.expectAccepted(submit("b", sampleAnswers("zones")));
    auto const appliedSet = driver.current();
    auto const fragment = fragmentKey(appliedSet->versionManifest().entries[0].digest);
    auto const newest = driver.objects;
    for (auto const& key : { std::string(headKey), manifestKey(appliedSet->digest()), fragment }) {
        driver.objects[key].value += " ";
        if (key == headKey)
            driver.objects[key].value = "{\"version\":1}";
        EXPECT_EQ(driver.expectFailed(submit("c", sampleAnswers("bookings"))).kind, error_kind::Corrupt) << key;
        driver.objects = newest;
    }
    driver.objects = older;
    auto const outcome = driver.run(submit("c", sampleAnswers("bookings")), seconds(10), appliedSet);
    EXPECT_EQ(std::get<commit_failed>(outcome).reason.kind, error_kind::Refused);
}

} // namespace merlinpier
