#include <LibConfiguration/commit_session.h>

#include <LibConfiguration/questionnaire_rules.h>
#include <LibConfiguration/retry_back_off.h>
#include <LibCore/digest.h>

#include <algorithm>
#include <map>
#include <set>

namespace merlinpier {

namespace {

constexpr milliseconds firstBackOffBound { 50 };
constexpr milliseconds longestBackOffBound { 2000 };
constexpr std::size_t maximumIdBytes = 64;

using actions = std::vector<commit_action>;

enum class commit_phase { ReadingHead, ReadingManifest, ReadingFragments, WritingObjects, WritingHead, Finished };

// An update of the head whose answer was lost.
struct unresolved_update {
    std::uint64_t expectedRevision { 0 };
    version_number version { 0 };
};

bool isWorthRepeating(error_kind kind)
{
    return kind == error_kind::Unavailable || kind == error_kind::RateLimited || kind == error_kind::DeadlineExceeded
        || kind == error_kind::OutcomeUnknown;
}

// Whether a failed write certainly changed nothing.
bool isWithoutEffect(error_kind kind)
{
    return kind != error_kind::OutcomeUnknown && kind != error_kind::Corrupt && kind != error_kind::Internal;
}

std::string revisionText(std::uint64_t revision)
{
    return revision == 0 ? "absent" : "at revision " + std::to_string(revision);
}

error conflictError(std::string const& service, std::uint64_t base, std::uint64_t current)
{
    return { error_kind::Conflict,
        "service \"" + service + "\" is now " + revisionText(current) + "; the submission was made while it was "
            + revisionText(base),
        "look at the current answers (merlinpier show " + service + "), merge your change into them and submit against "
            + (current == 0 ? "base revision 0" : "base revision " + std::to_string(current)) };
}

result<empty> checkSubmission(submission const& request)
{
    auto const isAllowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9')
            || letter == '-';
    };
    if (request.id.empty() || request.id.size() > maximumIdBytes
        || !std::all_of(request.id.begin(), request.id.end(), isAllowed)) {
        return error { error_kind::BadInput, "\"id\" must be 1 to 64 letters, digits and hyphens",
            "draw a random identifier for each submission" };
    }
    if (!isServiceName(request.service)) {
        return error { error_kind::BadInput, "\"service\" holds \"" + request.service + "\", which is no service name",
            "use 1 to 63 lower-case letters, digits and hyphens, the first a letter" };
    }
    if (request.kind == submission_kind::Remove)
        return empty {};
    if (!request.answers || request.answers->service != request.service) {
        return error { error_kind::BadInput, "\"answers\" must hold the answers of service \"" + request.service + "\"",
            "give the same name in \"service\" and in the answers" };
    }
    return checkQuestionnaire(*request.answers);
}

} // namespace

struct commit_session::state {
    state(submission, time_point, std::shared_ptr<configuration_set const>);

    actions start(time_point);
    actions didRead(std::string const& key, result<std::optional<stored_object>> const&, time_point, generator&);
    actions didWrite(std::string const& key, result<stored_object> const&, time_point, generator&);
    actions tick(time_point, generator&);

private:
    actions readHead(time_point);
    actions didReadHead(std::optional<stored_object> const&, time_point, generator&);
    result<empty> takeHead(std::optional<stored_object> const&);
    actions readManifest(time_point);
    actions didReadManifest(std::optional<stored_object> const&, time_point);
    actions readFragments(time_point);
    actions didReadFragment(std::string const& key, std::optional<stored_object> const&, time_point, generator&);
    actions build(time_point);
    result<manifest_entry> replaceEntry(manifest&);
    result<std::string> ownerOfRemoved() const;
    actions writeObjects(time_point);
    actions writeHead(time_point);
    actions didWriteObject(std::string const& key, result<stored_object> const&, time_point, generator&);
    actions didReadDoubtful(std::string const& key, bool isThere, time_point, generator&);
    actions didSettleObject(time_point, generator&);
    actions didWriteHead(result<stored_object> const&, time_point, generator&);

    actions issue(commit_phase, std::set<std::string> const& keys, time_point);
    commit_action callFor(std::string const& key) const;
    actions didFailCall(std::string const& key, error const&, time_point, generator&);
    actions waitBeforeRetry(commit_phase, time_point, generator&);
    actions accept(accepted_submission const&);
    actions fail(error);
    actions failAtDeadline();
    bool mayHaveCommitted() const;
    std::uint64_t currentRevision() const;
    std::vector<wire_fragment> fragmentsOf(manifest const&) const;

    submission m_request;
    time_point m_deadline;
    std::shared_ptr<configuration_set const> m_known;
    commit_phase m_phase { commit_phase::ReadingHead };
    retry_back_off m_backOff { firstBackOffBound, longestBackOffBound };

    // Calls under way, and calls that failed and are repeated when the wait is over.
    std::set<std::string> m_pending;
    std::set<std::string> m_failed;
    std::optional<time_point> m_wakeAt;
    std::optional<error> m_lastError;

    // What the last read head says.
    std::uint64_t m_headRevision { 0 };
    configuration_head m_head;
    manifest m_base;
    std::map<std::string, std::string> m_fragments;

    // The version to come.
    std::map<std::string, std::string> m_newObjects;
    std::set<std::string> m_writtenKeys;
    // Objects whose write may have taken effect: they are looked for before they are sent again.
    std::set<std::string> m_doubtfulKeys;
    std::string m_nextHead;
    accepted_submission m_accepted;
    std::optional<unresolved_update> m_unresolved;
    unsigned m_lostRaces { 0 };
};

commit_session::state::state(submission request, time_point deadline, std::shared_ptr<configuration_set const> known)
    : m_request(std::move(request))
    , m_deadline(deadline)
    , m_known(std::move(known))
{
    if (!m_known)
        m_known = configuration_set::createEmpty();
    for (auto& fragment : m_known->fragmentsWithout({}))
        m_fragments.emplace(fragment.digest, std::move(fragment.content));
}

actions commit_session::state::start(time_point now)
{
    auto checked = checkSubmission(m_request);
    if (checked.isError())
        return fail(checked.releaseFailure());
    return readHead(now);
}

actions commit_session::state::readHead(time_point now) { return issue(commit_phase::ReadingHead, { headKey }, now); }

actions commit_session::state::didRead(
    std::string const& key, result<std::optional<stored_object>> const& answer, time_point now, generator& source)
{
    bool const isReading = m_phase == commit_phase::ReadingHead || m_phase == commit_phase::ReadingManifest
        || m_phase == commit_phase::ReadingFragments
        || (m_phase == commit_phase::WritingObjects && m_doubtfulKeys.contains(key));
    if (!isReading || m_pending.erase(key) == 0)
        return {};
    if (answer.isError())
        return didFailCall(key, answer.failure(), now, source);
    m_backOff.didSucceed();
    if (m_phase == commit_phase::ReadingHead)
        return didReadHead(answer.value(), now, source);
    if (m_phase == commit_phase::ReadingManifest)
        return didReadManifest(answer.value(), now);
    if (m_phase == commit_phase::WritingObjects)
        return didReadDoubtful(key, answer.value().has_value(), now, source);
    return didReadFragment(key, answer.value(), now, source);
}

actions commit_session::state::didReadHead(
    std::optional<stored_object> const& object, time_point now, generator& source)
{
    auto taken = takeHead(object);
    if (taken.isError())
        return fail(taken.releaseFailure());
    if (auto const* own = m_head.find(m_request.id)) {
        m_unresolved.reset();
        return accept(*own);
    }
    if (m_unresolved && m_headRevision < m_unresolved->expectedRevision)
        return waitBeforeRetry(commit_phase::ReadingHead, now, source);
    if (m_unresolved && m_headRevision > m_unresolved->expectedRevision) {
        if (!m_head.remembers(m_unresolved->version)) {
            return fail({ error_kind::OutcomeUnknown, "more submissions were accepted since than the head remembers",
                "compare the service's answers with yours (merlinpier show " + m_request.service + ")" });
        }
        // Revisions are never used again, so the lost update can no longer take effect.
        m_unresolved.reset();
    }
    return readManifest(now);
}

result<empty> commit_session::state::takeHead(std::optional<stored_object> const& object)
{
    m_head = {};
    m_headRevision = 0;
    if (object) {
        auto parsed = parseHead(object->value);
        if (parsed.isError())
            return error { error_kind::Corrupt, parsed.failure().message, parsed.failure().remedy };
        m_head = parsed.releaseValue();
        m_headRevision = object->revision;
    }
    if (m_head.version >= m_known->version())
        return empty {};
    return error { error_kind::Refused,
        "the platform is at version " + std::to_string(m_head.version) + ", but version "
            + std::to_string(m_known->version()) + " is in force here",
        "restore the platform's newest objects: daemons refuse versions below the one that they have applied" };
}

actions commit_session::state::readManifest(time_point now)
{
    if (m_head.version == 0) {
        m_base = {};
        return readFragments(now);
    }
    if (m_head.manifestDigest == m_known->digest()) {
        m_base = m_known->contents();
        return readFragments(now);
    }
    return issue(commit_phase::ReadingManifest, { manifestKey(m_head.manifestDigest) }, now);
}

actions commit_session::state::didReadManifest(std::optional<stored_object> const& object, time_point now)
{
    error const corrupt { error_kind::Corrupt,
        "the manifest of version " + std::to_string(m_head.version) + " is missing or damaged in the platform",
        "restore the object " + manifestKey(m_head.manifestDigest) };
    if (!object || contentDigest(object->value) != m_head.manifestDigest)
        return fail(corrupt);
    auto parsed = parseManifest(object->value);
    if (parsed.isError() || parsed.value().version != m_head.version)
        return fail(corrupt);
    m_base = parsed.releaseValue();
    return readFragments(now);
}

actions commit_session::state::readFragments(time_point now)
{
    // The base that the operator did not name is what the session sees first: a change after that is a conflict.
    if (!m_request.baseRevision)
        m_request.baseRevision = currentRevision();
    if (*m_request.baseRevision != currentRevision())
        return fail(conflictError(m_request.service, *m_request.baseRevision, currentRevision()));
    std::set<std::string> missing;
    for (auto const& entry : m_base.entries) {
        if (!m_fragments.contains(entry.digest))
            missing.insert(fragmentKey(entry.digest));
    }
    if (missing.empty())
        return build(now);
    return issue(commit_phase::ReadingFragments, missing, now);
}

actions commit_session::state::didReadFragment(
    std::string const& key, std::optional<stored_object> const& object, time_point now, generator& source)
{
    if (!object || key != fragmentKey(contentDigest(object->value))) {
        return fail({ error_kind::Corrupt, "the object " + key + " is missing or damaged in the platform",
            "restore the object, or submit the answers of its service again on a daemon that has it" });
    }
    m_fragments.emplace(contentDigest(object->value), object->value);
    if (!m_pending.empty())
        return {};
    if (!m_failed.empty())
        return waitBeforeRetry(m_phase, now, source);
    return build(now);
}

std::uint64_t commit_session::state::currentRevision() const
{
    for (auto const& entry : m_base.entries) {
        if (entry.service == m_request.service)
            return entry.revision;
    }
    return 0;
}

std::vector<wire_fragment> commit_session::state::fragmentsOf(manifest const& contents) const
{
    std::vector<wire_fragment> fragments;
    for (auto const& entry : contents.entries) {
        auto const found = m_fragments.find(entry.digest);
        if (found != m_fragments.end())
            fragments.push_back({ entry.service, entry.digest, found->second });
    }
    return fragments;
}

// Takes the service's entry out of the manifest, puts the new one in for Submit, and returns what was accepted.
result<manifest_entry> commit_session::state::replaceEntry(manifest& contents)
{
    auto const current = currentRevision();
    manifest_entry entry { m_request.service, std::max(current, current == 0 ? contents.revisionFloor : 0) + 1, "" };
    auto const isOwn = [&](manifest_entry const& candidate) {
        return candidate.service == entry.service;
    };
    contents.entries.erase(
        std::remove_if(contents.entries.begin(), contents.entries.end(), isOwn), contents.entries.end());
    if (m_request.kind == submission_kind::Remove) {
        if (current == 0) {
            return error { error_kind::NotFound, "there is no service \"" + entry.service + "\" to remove",
                "list the services with merlinpier show" };
        }
        contents.revisionFloor = std::max(contents.revisionFloor, entry.revision);
        return entry;
    }
    auto content = serializeService(generateService(*m_request.answers, entry.revision));
    entry.digest = contentDigest(content);
    m_newObjects.emplace(fragmentKey(entry.digest), content);
    m_fragments.emplace(entry.digest, std::move(content));
    auto const position = std::find_if(contents.entries.begin(), contents.entries.end(),
        [&](manifest_entry const& candidate) { return candidate.service > entry.service; });
    contents.entries.insert(position, entry);
    return entry;
}

result<std::string> commit_session::state::ownerOfRemoved() const
{
    for (auto const& entry : m_base.entries) {
        if (entry.service == m_request.service)
            return TRY(parseService(m_fragments.at(entry.digest))).answers.owner;
    }
    return std::string();
}

actions commit_session::state::build(time_point now)
{
    m_newObjects.clear();
    manifest next = m_base;
    next.version = m_head.version + 1;
    auto entry = replaceEntry(next);
    if (entry.isError())
        return fail(entry.releaseFailure());
    auto owner = m_request.answers ? result<std::string>(m_request.answers->owner) : ownerOfRemoved();
    if (owner.isError())
        return fail(owner.releaseFailure());
    auto const set = configuration_set::tryCreate(next, fragmentsOf(next));
    if (set.isError())
        return fail(set.failure());
    m_accepted = { m_request.id, next.version, m_request.service, entry.value().revision, owner.releaseValue() };
    m_newObjects.emplace(manifestKey(set.value()->digest()), serializeManifest(next));
    m_nextHead = serializeHead(m_head.next(set.value()->digest(), m_accepted));
    return writeObjects(now);
}

actions commit_session::state::writeObjects(time_point now)
{
    std::set<std::string> keys;
    for (auto const& [key, ignored] : m_newObjects) {
        if (!m_writtenKeys.contains(key))
            keys.insert(key);
    }
    if (keys.empty())
        return writeHead(now);
    return issue(commit_phase::WritingObjects, keys, now);
}

actions commit_session::state::writeHead(time_point now) { return issue(commit_phase::WritingHead, { headKey }, now); }

actions commit_session::state::didWrite(
    std::string const& key, result<stored_object> const& answer, time_point now, generator& source)
{
    bool const isWriting = m_phase == commit_phase::WritingObjects || m_phase == commit_phase::WritingHead;
    if (!isWriting || m_doubtfulKeys.contains(key) || m_pending.erase(key) == 0)
        return {};
    if (m_phase == commit_phase::WritingHead)
        return didWriteHead(answer, now, source);
    return didWriteObject(key, answer, now, source);
}

actions commit_session::state::didWriteObject(
    std::string const& key, result<stored_object> const& answer, time_point now, generator& source)
{
    // The key names the content, so an object that is there already is the one that was to be written.
    if (answer.isError() && answer.failure().kind != error_kind::Conflict) {
        if (answer.failure().kind == error_kind::OutcomeUnknown)
            m_doubtfulKeys.insert(key);
        return didFailCall(key, answer.failure(), now, source);
    }
    m_backOff.didSucceed();
    m_writtenKeys.insert(key);
    return didSettleObject(now, source);
}

actions commit_session::state::didReadDoubtful(std::string const& key, bool isThere, time_point now, generator& source)
{
    m_doubtfulKeys.erase(key);
    if (isThere)
        m_writtenKeys.insert(key);
    else
        m_failed.insert(key);
    return didSettleObject(now, source);
}

// The head may name the objects only once all of them are stored.
actions commit_session::state::didSettleObject(time_point now, generator& source)
{
    if (!m_pending.empty())
        return {};
    if (!m_failed.empty())
        return waitBeforeRetry(m_phase, now, source);
    return writeHead(now);
}

actions commit_session::state::didWriteHead(result<stored_object> const& answer, time_point now, generator& source)
{
    if (!answer.isError()) {
        m_unresolved.reset();
        return accept(m_accepted);
    }
    auto const& failure = answer.failure();
    m_lastError = failure;
    if (failure.kind == error_kind::Conflict) {
        ++m_lostRaces;
        return m_lostRaces == 1 ? readHead(now) : waitBeforeRetry(commit_phase::ReadingHead, now, source);
    }
    if (!isWithoutEffect(failure.kind))
        m_unresolved = unresolved_update { m_headRevision, m_accepted.version };
    else if (!isWorthRepeating(failure.kind))
        return fail(failure);
    return waitBeforeRetry(commit_phase::ReadingHead, now, source);
}

actions commit_session::state::didFailCall(
    std::string const& key, error const& failure, time_point now, generator& source)
{
    if (!isWorthRepeating(failure.kind))
        return fail(failure);
    m_lastError = failure;
    m_failed.insert(key);
    if (!m_pending.empty())
        return {};
    return waitBeforeRetry(m_phase, now, source);
}

actions commit_session::state::waitBeforeRetry(commit_phase phase, time_point now, generator& source)
{
    m_phase = phase;
    if (phase == commit_phase::ReadingHead)
        m_failed = { headKey };
    auto const delay = m_backOff.didFail(source);
    if (now + delay >= m_deadline)
        return failAtDeadline();
    m_wakeAt = now + delay;
    return { wait_before_retry { delay } };
}

actions commit_session::state::tick(time_point now, generator&)
{
    if (m_phase == commit_phase::Finished)
        return {};
    if (now >= m_deadline)
        return failAtDeadline();
    if (!m_wakeAt)
        return {};
    if (now < *m_wakeAt)
        return { wait_before_retry { *m_wakeAt - now } };
    return issue(m_phase, std::exchange(m_failed, {}), now);
}

actions commit_session::state::issue(commit_phase phase, std::set<std::string> const& keys, time_point now)
{
    if (now >= m_deadline)
        return failAtDeadline();
    m_phase = phase;
    m_wakeAt.reset();
    m_failed.clear();
    m_pending = keys;
    actions calls;
    for (auto const& key : keys)
        calls.push_back(callFor(key));
    return calls;
}

commit_action commit_session::state::callFor(std::string const& key) const
{
    if (m_phase == commit_phase::WritingHead)
        return write_object { key, m_nextHead, { m_headRevision } };
    if (m_phase == commit_phase::WritingObjects && !m_doubtfulKeys.contains(key))
        return write_object { key, m_newObjects.at(key), { 0 } };
    return read_object { key };
}

actions commit_session::state::accept(accepted_submission const& accepted)
{
    if (accepted.service != m_request.service) {
        return fail({ error_kind::BadInput,
            "the submission identifier " + accepted.id + " stands for an accepted change to service \""
                + accepted.service + "\"",
            "draw a new identifier for each submission" });
    }
    m_phase = commit_phase::Finished;
    return { commit_accepted { accepted } };
}

bool commit_session::state::mayHaveCommitted() const
{
    return m_unresolved.has_value() || (m_phase == commit_phase::WritingHead && m_pending.contains(headKey));
}

actions commit_session::state::failAtDeadline()
{
    std::string const last = m_lastError ? ": " + m_lastError->message : "";
    return fail({ error_kind::Unavailable, "the platform could not be used before the deadline" + last,
        "nothing was changed; submit again once the platform answers" });
}

actions commit_session::state::fail(error reason)
{
    if (mayHaveCommitted() && reason.kind != error_kind::OutcomeUnknown) {
        reason = { error_kind::OutcomeUnknown,
            "the update of version " + std::to_string(m_accepted.version)
                + " may have taken effect, but could not be confirmed (" + reason.message + ")",
            "repeat the submission with the same id, " + m_request.id + ": it is accepted at most once" };
    }
    m_phase = commit_phase::Finished;
    return { commit_failed { std::move(reason) } };
}

commit_session::commit_session(submission request, time_point deadline, std::shared_ptr<configuration_set const> known)
    : m_state(std::make_shared<state>(std::move(request), deadline, std::move(known)))
{
}

std::vector<commit_action> commit_session::start(time_point now) { return m_state->start(now); }

std::vector<commit_action> commit_session::didRead(
    std::string const& key, result<std::optional<stored_object>> const& answer, time_point now, generator& source)
{
    return m_state->didRead(key, answer, now, source);
}

std::vector<commit_action> commit_session::didWrite(
    std::string const& key, result<stored_object> const& answer, time_point now, generator& source)
{
    return m_state->didWrite(key, answer, now, source);
}

std::vector<commit_action> commit_session::tick(time_point now, generator& source)
{
    return m_state->tick(now, source);
}

} // namespace merlinpier
