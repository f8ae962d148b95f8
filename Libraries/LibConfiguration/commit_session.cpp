#include <LibConfiguration/commit_session.h>

#include <LibConfiguration/commit_session_state.h>
#include <LibConfiguration/submission_rules.h>
#include <LibCore/digest.h>
#include <algorithm>

namespace merlinpier {

namespace {

bool isRetryable(error_kind kind)
{
    return kind == error_kind::Unavailable || kind == error_kind::RateLimited || kind == error_kind::DeadlineExceeded
        || kind == error_kind::OutcomeUnknown || kind == error_kind::ConnectionLost;
}

// Whether the error proves that a failed write changed nothing.
bool provesNoEffect(error_kind kind)
{
    return kind != error_kind::OutcomeUnknown && kind != error_kind::ConnectionLost && kind != error_kind::Corrupt
        && kind != error_kind::Internal;
}

} // namespace

commit_session::state::state(
    submission request, time_point deadline, std::shared_ptr<configuration_set const> appliedSet)
    : m_submission(std::move(request))
    , m_deadline(deadline)
    , m_appliedSet(std::move(appliedSet))
{
    if (!m_appliedSet)
        m_appliedSet = configuration_set::createEmpty();
    for (auto& fragment : m_appliedSet->fragmentsExcept({}))
        m_fragmentContents.emplace(fragment.digest, std::move(fragment.content));
}

std::vector<commit_action> commit_session::state::start(time_point now)
{
    auto checked = checkSubmission(m_submission);
    if (checked.isError())
        return fail(checked.releaseFailure());
    return readHead(now);
}

std::vector<commit_action> commit_session::state::readHead(time_point now)
{
    return issueCalls(commit_phase::ReadingHead, { headKey }, now);
}

std::vector<commit_action> commit_session::state::didRead(
    std::string const& key, result<std::optional<stored_object>> const& answer, time_point now, generator& source)
{
    bool const isReading = m_phase == commit_phase::ReadingHead || m_phase == commit_phase::ReadingManifest
        || m_phase == commit_phase::ReadingFragments
        || (m_phase == commit_phase::WritingObjects && m_unconfirmedKeys.contains(key));
    if (!isReading || m_keysInFlight.erase(key) == 0)
        return {};
    if (answer.isError())
        return didFailCall(key, answer.failure(), now, source);
    m_backOff.didSucceed();
    if (m_phase == commit_phase::ReadingHead)
        return didReadHead(answer.value(), now, source);
    if (m_phase == commit_phase::ReadingManifest)
        return didReadManifest(answer.value(), now);
    if (m_phase == commit_phase::WritingObjects)
        return didReadUnconfirmed(key, answer.value().has_value(), now, source);
    return didReadFragment(key, answer.value(), now, source);
}

std::vector<commit_action> commit_session::state::buildNextVersion(time_point now)
{
    m_newObjects.clear();
    manifest next = m_baseManifest;
    next.version = m_head.version + 1;
    auto entry = replaceEntry(next);
    if (entry.isError())
        return fail(entry.releaseFailure());
    auto owner = m_submission.answers ? result<std::string>(m_submission.answers->owner) : ownerOfRemovedService();
    if (owner.isError())
        return fail(owner.releaseFailure());
    auto const set = configuration_set::tryCreate(next, fragmentsOf(next));
    if (set.isError())
        return fail(set.failure());
    m_accepted = { m_submission.id, next.version, m_submission.service, entry.value().revision, owner.releaseValue() };
    m_newObjects.emplace(manifestKey(set.value()->digest()), serializeManifest(next));
    m_nextHeadContent = serializeHead(m_head.next(set.value()->digest(), m_accepted));
    return writeObjects(now);
}

std::vector<commit_action> commit_session::state::writeObjects(time_point now)
{
    std::set<std::string> keys;
    for (auto const& [key, ignored] : m_newObjects) {
        if (!m_writtenKeys.contains(key))
            keys.insert(key);
    }
    if (keys.empty())
        return writeHead(now);
    return issueCalls(commit_phase::WritingObjects, keys, now);
}

std::vector<commit_action> commit_session::state::writeHead(time_point now)
{
    return issueCalls(commit_phase::WritingHead, { headKey }, now);
}

std::vector<commit_action> commit_session::state::didWrite(
    std::string const& key, result<stored_object> const& answer, time_point now, generator& source)
{
    bool const isWriting = m_phase == commit_phase::WritingObjects || m_phase == commit_phase::WritingHead;
    if (!isWriting || m_unconfirmedKeys.contains(key) || m_keysInFlight.erase(key) == 0)
        return {};
    if (m_phase == commit_phase::WritingHead)
        return didWriteHead(answer, now, source);
    return didWriteObject(key, answer, now, source);
}

std::vector<commit_action> commit_session::state::didWriteObject(
    std::string const& key, result<stored_object> const& answer, time_point now, generator& source)
{
    // Keys contain the digest of the content, so an existing object is identical to the one to be written.
    if (answer.isError() && answer.failure().kind != error_kind::Conflict) {
        if (answer.failure().kind == error_kind::OutcomeUnknown)
            m_unconfirmedKeys.insert(key);
        return didFailCall(key, answer.failure(), now, source);
    }
    m_backOff.didSucceed();
    m_writtenKeys.insert(key);
    return continueWritingObjects(now, source);
}

std::vector<commit_action> commit_session::state::didReadUnconfirmed(
    std::string const& key, bool exists, time_point now, generator& source)
{
    m_unconfirmedKeys.erase(key);
    if (exists)
        m_writtenKeys.insert(key);
    else
        m_keysToRetry.insert(key);
    return continueWritingObjects(now, source);
}

// Updates the head once all objects are stored, since the head must not refer to missing objects.
std::vector<commit_action> commit_session::state::continueWritingObjects(time_point now, generator& source)
{
    if (!m_keysInFlight.empty())
        return {};
    if (!m_keysToRetry.empty())
        return waitBeforeRetry(m_phase, now, source);
    return writeHead(now);
}

std::vector<commit_action> commit_session::state::didWriteHead(
    result<stored_object> const& answer, time_point now, generator& source)
{
    if (!answer.isError()) {
        m_unresolvedUpdate.reset();
        return accept(m_accepted);
    }
    auto const& failure = answer.failure();
    m_lastError = failure;
    if (failure.kind == error_kind::Conflict) {
        ++m_headConflicts;
        return m_headConflicts == 1 ? readHead(now) : waitBeforeRetry(commit_phase::ReadingHead, now, source);
    }
    if (!provesNoEffect(failure.kind))
        m_unresolvedUpdate = unresolved_update { m_headRevision, m_accepted.version };
    else if (!isRetryable(failure.kind))
        return fail(failure);
    return waitBeforeRetry(commit_phase::ReadingHead, now, source);
}

std::vector<commit_action> commit_session::state::didFailCall(
    std::string const& key, error const& failure, time_point now, generator& source)
{
    if (!isRetryable(failure.kind))
        return fail(failure);
    m_lastError = failure;
    m_keysToRetry.insert(key);
    if (!m_keysInFlight.empty())
        return {};
    return waitBeforeRetry(m_phase, now, source);
}

std::vector<commit_action> commit_session::state::waitBeforeRetry(commit_phase phase, time_point now, generator& source)
{
    m_phase = phase;
    if (phase == commit_phase::ReadingHead)
        m_keysToRetry = { headKey };
    auto const delay = m_backOff.didFail(source);
    if (now + delay >= m_deadline)
        return failAtDeadline();
    m_retryAt = now + delay;
    return { wait_before_retry { delay } };
}

std::vector<commit_action> commit_session::state::tick(time_point now, generator&)
{
    if (m_phase == commit_phase::Finished)
        return {};
    if (now >= m_deadline)
        return failAtDeadline();
    if (!m_retryAt)
        return {};
    if (now < *m_retryAt)
        return { wait_before_retry { *m_retryAt - now } };
    return issueCalls(m_phase, std::exchange(m_keysToRetry, {}), now);
}

std::vector<commit_action> commit_session::state::issueCalls(
    commit_phase phase, std::set<std::string> const& keys, time_point now)
{
    if (now >= m_deadline)
        return failAtDeadline();
    m_phase = phase;
    m_retryAt.reset();
    m_keysToRetry.clear();
    m_keysInFlight = keys;
    actions calls;
    for (auto const& key : keys)
        calls.push_back(makeCall(key));
    return calls;
}

commit_action commit_session::state::makeCall(std::string const& key) const
{
    if (m_phase == commit_phase::WritingHead)
        return write_object { key, m_nextHeadContent, { m_headRevision } };
    if (m_phase == commit_phase::WritingObjects && !m_unconfirmedKeys.contains(key))
        return write_object { key, m_newObjects.at(key), { 0 } };
    return read_object { key };
}

std::vector<commit_action> commit_session::state::accept(accepted_submission const& accepted)
{
    if (accepted.service != m_submission.service) {
        return fail({ error_kind::BadInput,
            "the submission identifier " + accepted.id + " belongs to an accepted change to service \""
                + accepted.service + "\"",
            "draw a new identifier for each submission" });
    }
    m_phase = commit_phase::Finished;
    return { commit_accepted { accepted } };
}

bool commit_session::state::mayHaveCommitted() const
{
    return m_unresolvedUpdate.has_value() || (m_phase == commit_phase::WritingHead && m_keysInFlight.contains(headKey));
}

std::vector<commit_action> commit_session::state::failAtDeadline()
{
    std::string const last = m_lastError ? ": " + m_lastError->message : "";
    return fail({ error_kind::Unavailable, "the platform did not answer the required calls before the deadline" + last,
        "nothing was changed; submit again once the platform answers" });
}

std::vector<commit_action> commit_session::state::fail(error reason)
{
    if (mayHaveCommitted() && reason.kind != error_kind::OutcomeUnknown) {
        reason = { error_kind::OutcomeUnknown,
            "the commit of version " + std::to_string(m_accepted.version)
                + " may have taken effect, but could not be confirmed (" + reason.message + ")",
            "repeat the submission with the same id, " + m_submission.id + ": it is accepted at most once" };
    }
    m_phase = commit_phase::Finished;
    return { commit_failed { std::move(reason) } };
}

commit_session::commit_session(
    submission request, time_point deadline, std::shared_ptr<configuration_set const> appliedSet)
    : m_state(std::make_shared<state>(std::move(request), deadline, std::move(appliedSet)))
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
