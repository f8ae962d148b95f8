#include <Tests/LibConfiguration/commit_simulation.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr seconds sessionTimeout { 10 };
constexpr milliseconds stepDuration { 1 };

// Bits of a choice, from the lowest: whether to inject a fault, the kind of fault, and the index of the next event.
constexpr unsigned faultMask = 15;
constexpr unsigned kindShift = 4;
constexpr unsigned kindMask = 7;
constexpr unsigned eventShift = 7;

error answerLostError() { return { error_kind::OutcomeUnknown, "the answer was lost", "" }; }

bool isChangedBetween(
    std::vector<head_update> const& updates, std::string const& service, std::size_t from, std::size_t to)
{
    return std::any_of(updates.begin(), updates.end(), [&](head_update const& update) {
        return update.head.recent.back().service == service && update.step >= from && update.step <= to;
    });
}

} // namespace

// A call in flight. It first takes effect or fails, then its answer is delivered. With LateEffect, it takes effect
// last.
struct commit_simulation::operation {
    std::weak_ptr<operator_state> submitter;
    std::shared_ptr<commit_session> session;
    commit_action action;
    store_outcome storeOutcome { store_outcome::Answered };
    bool hasOutcome { false };
    bool isDelivered { false };
    bool isOver { false };
    result<std::optional<stored_object>> readAnswer { std::optional<stored_object>() };
    result<stored_object> writeAnswer { answerLostError() };
};

struct commit_simulation::operator_state {
    std::vector<submission> plannedSubmissions;
    base_choice base { base_choice::Current };
    std::size_t nextIndex { 0 };
    std::size_t recordIndex { 0 };
    std::shared_ptr<commit_session> session;
    std::optional<time_point> wakeAt;
    time_point deadline;
};

commit_simulation::commit_simulation(std::vector<std::uint16_t> choices, unsigned faultSixteenths)
    : m_choices(std::move(choices))
    , m_faultSixteenths(faultSixteenths)
{
}

void commit_simulation::addOperator(std::vector<submission> plannedSubmissions, base_choice base)
{
    auto added = std::make_shared<operator_state>();
    added->plannedSubmissions = std::move(plannedSubmissions);
    added->base = base;
    m_operators.push_back(std::move(added));
}

std::uint64_t commit_simulation::choose(std::uint64_t bound)
{
    if (m_step >= m_choices.size())
        return 0;
    return (m_choices[m_step] >> eventShift) % bound;
}

void commit_simulation::run()
{
    while (step())
        ++m_step;
}

// Performs one of the possible events. Returns false if there is none.
bool commit_simulation::step()
{
    std::vector<std::function<void()>> events;
    for (auto const& submitter : m_operators) {
        if (!submitter->session && submitter->nextIndex < submitter->plannedSubmissions.size())
            events.emplace_back([this, submitter] { begin(*submitter); });
    }
    std::erase_if(m_operations, [](auto const& candidate) { return candidate->isOver; });
    for (auto const& candidate : m_operations)
        events.emplace_back([this, candidate] { advance(*candidate); });
    for (auto const& submitter : m_operators) {
        if (submitter->session && (submitter->wakeAt || m_now >= submitter->deadline))
            events.emplace_back([this, submitter] { fireTimer(*submitter); });
    }
    if (events.empty())
        return false;
    m_now += stepDuration;
    events[choose(events.size())]();
    return true;
}

void commit_simulation::begin(operator_state& submitter)
{
    auto request = submitter.plannedSubmissions[submitter.nextIndex];
    // A repeat after an unknown outcome sends the same request.
    if (m_records.empty() || m_records[submitter.recordIndex].request.id != request.id) {
        if (submitter.base == base_choice::Current)
            request.baseRevision = currentRevision(request.service);
        submitter.recordIndex = m_records.size();
        m_records.push_back({ request, m_step, {}, {}, {}, false });
    }
    submitter.deadline = m_now + sessionTimeout;
    submitter.session = std::make_shared<commit_session>(m_records[submitter.recordIndex].request, submitter.deadline);
    perform(submitter, submitter.session->start(m_now));
}

void commit_simulation::perform(operator_state& submitter, std::vector<commit_action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* wait = std::get_if<wait_before_retry>(&action)) {
            submitter.wakeAt = m_now + wait->delay;
        } else if (std::holds_alternative<read_object>(action) || std::holds_alternative<write_object>(action)) {
            auto call = std::make_shared<operation>();
            for (auto const& candidate : m_operators) {
                if (candidate.get() == &submitter)
                    call->submitter = candidate;
            }
            call->session = submitter.session;
            call->action = action;
            m_operations.push_back(std::move(call));
        } else {
            finish(submitter, action);
        }
    }
}

void commit_simulation::finish(operator_state& submitter, commit_action const& outcome)
{
    auto& record = m_records[submitter.recordIndex];
    submitter.session.reset();
    submitter.wakeAt.reset();
    if (auto const* accepted = std::get_if<commit_accepted>(&outcome))
        record.accepted = accepted->accepted;
    else
        record.failure = std::get<commit_failed>(outcome).reason;
    // A repeat that cannot reach the platform leaves an unknown outcome unknown, as in the command-line tool.
    if (record.failure && record.hadUnknownOutcome && record.failure->kind == error_kind::Unavailable)
        record.failure = answerLostError();
    bool const isUnknown = !record.accepted && record.failure->kind == error_kind::OutcomeUnknown;
    record.hadUnknownOutcome = record.hadUnknownOutcome || isUnknown;
    // While the schedule lasts, an operator repeats half of the submissions of unknown outcome.
    if (isUnknown && choose(2) == 1) {
        record.failure.reset();
        return;
    }
    record.returnStep = m_step;
    ++submitter.nextIndex;
}

bool commit_simulation::shouldInjectFault() const
{
    return m_step < m_choices.size() && (m_choices[m_step] & faultMask) < m_faultSixteenths;
}

store_outcome commit_simulation::chooseOutcome(operation const& call) const
{
    if (!shouldInjectFault())
        return store_outcome::Answered;
    bool const isWrite = std::holds_alternative<write_object>(call.action);
    switch ((m_choices[m_step] >> kindShift) & kindMask) {
    case 0:
    case 1:
        return isWrite ? store_outcome::AnswerLost : store_outcome::Lost;
    case 2:
    case 3:
        return isWrite ? store_outcome::LateEffect : store_outcome::Lost;
    case 4:
        return store_outcome::Lost;
    case 5:
        return store_outcome::RateLimited;
    default:
        return store_outcome::Unavailable;
    }
}

// Whether the daemon is paused beyond the session's deadline before it handles an answer or a timer.
bool commit_simulation::shouldPause() const
{
    return shouldInjectFault() && ((m_choices[m_step] >> kindShift) & kindMask) == 0;
}

void commit_simulation::advance(operation& call)
{
    if (!call.hasOutcome) {
        call.hasOutcome = true;
        call.storeOutcome = chooseOutcome(call);
        if (call.storeOutcome == store_outcome::Answered || call.storeOutcome == store_outcome::AnswerLost)
            applyToStore(call);
        if (call.storeOutcome == store_outcome::AnswerLost || call.storeOutcome == store_outcome::LateEffect
            || call.storeOutcome == store_outcome::Lost)
            call.writeAnswer = answerLostError();
        if (call.storeOutcome == store_outcome::Unavailable)
            call.writeAnswer = error { error_kind::Unavailable, "the platform is down", "" };
        if (call.storeOutcome == store_outcome::RateLimited)
            call.writeAnswer = error { error_kind::RateLimited, "too many calls", "" };
        if (call.storeOutcome != store_outcome::Answered)
            call.readAnswer = call.writeAnswer.failure();
        return;
    }
    if (!call.isDelivered) {
        call.isDelivered = true;
        call.isOver = call.storeOutcome != store_outcome::LateEffect;
        deliver(call);
        return;
    }
    call.isOver = true;
    applyToStore(call);
}

void commit_simulation::applyToStore(operation& call)
{
    if (auto const* readAction = std::get_if<read_object>(&call.action)) {
        auto const found = m_objects.find(readAction->key);
        call.readAnswer
            = found == m_objects.end() ? std::optional<stored_object>() : std::optional<stored_object>(found->second);
        return;
    }
    auto const& writeAction = std::get<write_object>(call.action);
    auto const found = m_objects.find(writeAction.key);
    auto const current = found == m_objects.end() ? 0 : found->second.revision;
    if (writeAction.condition.expectedRevision && *writeAction.condition.expectedRevision != current) {
        call.writeAnswer = error { error_kind::Conflict, "the revision differs", "" };
        return;
    }
    stored_object const object { writeAction.key, ++m_lastRevision, writeAction.value };
    m_objects[writeAction.key] = object;
    call.writeAnswer = object;
    if (writeAction.key == headKey)
        m_updates.push_back({ parseHead(writeAction.value).releaseValue(), m_step });
}

void commit_simulation::deliver(operation const& call)
{
    auto const submitter = call.submitter.lock();
    if (shouldPause())
        m_now += sessionTimeout;
    // A session that has ended must ignore late answers.
    auto const actions = std::holds_alternative<read_object>(call.action)
        ? call.session->didRead(std::get<read_object>(call.action).key, call.readAnswer, m_now, m_generator)
        : call.session->didWrite(std::get<write_object>(call.action).key, call.writeAnswer, m_now, m_generator);
    if (call.session == submitter->session)
        perform(*submitter, actions);
    else
        m_hasActionAfterEnd = m_hasActionAfterEnd || !actions.empty();
}

void commit_simulation::fireTimer(operator_state& submitter)
{
    m_now = std::max(m_now, shouldPause() ? submitter.deadline : submitter.wakeAt.value_or(submitter.deadline));
    submitter.wakeAt.reset();
    perform(submitter, submitter.session->tick(m_now, m_generator));
}

std::shared_ptr<configuration_set const> commit_simulation::load(configuration_head const& head) const
{
    auto const found = m_objects.find(manifestKey(head.manifestDigest));
    if (found == m_objects.end())
        return nullptr;
    auto versionManifest = parseManifest(found->second.value);
    if (versionManifest.isError() || versionManifest.value().version != head.version)
        return nullptr;
    std::vector<wire_fragment> fragments;
    for (auto const& entry : versionManifest.value().entries) {
        auto const fragment = m_objects.find(fragmentKey(entry.digest));
        if (fragment != m_objects.end())
            fragments.push_back({ entry.service, entry.digest, fragment->second.value });
    }
    auto set = configuration_set::tryCreate(versionManifest.releaseValue(), fragments);
    return set.isError() ? nullptr : set.releaseValue();
}

std::uint64_t commit_simulation::currentRevision(std::string const& service) const
{
    if (m_updates.empty())
        return 0;
    auto const set = load(m_updates.back().head);
    auto const* found = set ? set->service(service) : nullptr;
    return found ? found->revision : 0;
}

// Replays the committed versions in order and checks each against the submission that it was accepted for.
struct commit_simulation::replay {
    commit_simulation const& simulation;
    std::shared_ptr<configuration_set const> before { configuration_set::createEmpty() };
    std::map<std::string, version_number> versionOf;

    std::optional<std::string> applyUpdate(head_update const& update)
    {
        auto const& accepted = update.head.recent.back();
        std::string const name = "version " + std::to_string(update.head.version) + ": ";
        if (update.head.version != before->version() + 1 || accepted.version != update.head.version)
            return name + "the version number does not follow its predecessor";
        if (!versionOf.emplace(accepted.id, accepted.version).second)
            return name + "submission " + accepted.id + " was accepted twice";
        auto const after = simulation.load(update.head);
        if (!after)
            return name + "objects were missing or invalid when it was accepted";
        auto const record = std::find_if(simulation.m_records.begin(), simulation.m_records.end(),
            [&](submission_record const& candidate) { return candidate.request.id == accepted.id; });
        auto const violation = findDifference(*after, record->request, accepted);
        before = after;
        return violation ? std::optional<std::string>(name + *violation) : std::nullopt;
    }

    std::optional<std::string> findDifference(
        configuration_set const& after, submission const& request, accepted_submission const& accepted) const
    {
        auto const* old = before->service(request.service);
        if (request.baseRevision && *request.baseRevision != (old ? old->revision : 0))
            return "lost update: its base revision was no longer current";
        auto expected = before->services();
        expected.erase(request.service);
        if (request.kind == submission_kind::Submit)
            expected[request.service] = generateServiceConfiguration(*request.answers, accepted.revision);
        if (after.services() != expected)
            return "lost update: it differs from its predecessor by more or less than its submission";
        if (old && accepted.revision != old->revision + 1)
            return "the revision does not increase by one";
        return std::nullopt;
    }
};

std::optional<std::string> commit_simulation::findViolation() const
{
    if (m_hasActionAfterEnd)
        return "a session returned actions after it had ended";
    replay history { *this };
    for (auto const& update : m_updates) {
        if (auto violation = history.applyUpdate(update))
            return violation;
    }
    std::size_t number = 0;
    for (auto const& record : m_records) {
        std::string const name = "submission " + std::to_string(number++) + " (" + record.request.id + "): ";
        auto const found = history.versionOf.find(record.request.id);
        bool const isCommitted = found != history.versionOf.end();
        if (record.accepted) {
            if (!isCommitted || found->second != record.accepted->version)
                return name + "reported as accepted, but its version was not committed";
            auto const& updateStep = m_updates[record.accepted->version - 1].step;
            if (updateStep < record.invocationStep || updateStep > *record.returnStep)
                return name + "took effect before its invocation or after its return";
            continue;
        }
        if (record.failure->kind == error_kind::OutcomeUnknown)
            continue;
        if (isCommitted)
            return name + "reported as failed, but it took effect: " + record.failure->text();
        if (record.failure->kind == error_kind::Conflict
            && !isChangedBetween(m_updates, record.request.service, record.invocationStep, *record.returnStep))
            return name + "reported a conflict, but no other submission changed the service: " + record.failure->text();
    }
    return std::nullopt;
}

} // namespace merlinpier
