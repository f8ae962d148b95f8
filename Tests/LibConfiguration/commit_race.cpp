#include <Tests/LibConfiguration/commit_race.h>

#include <algorithm>

namespace merlinpier {

namespace {

constexpr seconds sessionTime { 10 };
constexpr milliseconds stepTime { 1 };

// How the bits of a choice are used: whether something goes wrong, what, and which event is next.
constexpr unsigned faultMask = 15;
constexpr unsigned kindShift = 4;
constexpr unsigned kindMask = 7;
constexpr unsigned eventShift = 7;

error lostError() { return { error_kind::OutcomeUnknown, "the answer was lost", "" }; }

bool isChangedBetween(
    std::vector<head_update> const& updates, std::string const& service, std::size_t from, std::size_t to)
{
    return std::any_of(updates.begin(), updates.end(), [&](head_update const& update) {
        return update.head.recent.back().service == service && update.at >= from && update.at <= to;
    });
}

} // namespace

// A call under way: first it takes effect or not, then its answer arrives.
struct commit_race::operation {
    std::weak_ptr<operator_state> owner;
    std::shared_ptr<commit_session> session;
    commit_action action;
    store_fate fate { store_fate::Answered };
    bool hasFate { false };
    bool isDelivered { false };
    bool isOver { false };
    result<std::optional<stored_object>> readAnswer { std::optional<stored_object>() };
    result<stored_object> writeAnswer { lostError() };
};

struct commit_race::operator_state {
    std::vector<submission> script;
    base_choice base { base_choice::Seen };
    std::size_t next { 0 };
    std::size_t record { 0 };
    std::shared_ptr<commit_session> session;
    std::optional<time_point> wakeAt;
    time_point deadline;
};

commit_race::commit_race(std::vector<std::uint16_t> choices, unsigned faultsInSixteen)
    : m_choices(std::move(choices))
    , m_faultsInSixteen(faultsInSixteen)
{
}

void commit_race::addOperator(std::vector<submission> script, base_choice base)
{
    auto added = std::make_shared<operator_state>();
    added->script = std::move(script);
    added->base = base;
    m_operators.push_back(std::move(added));
}

std::uint64_t commit_race::choose(std::uint64_t bound)
{
    if (m_step >= m_choices.size())
        return 0;
    return (m_choices[m_step] >> eventShift) % bound;
}

void commit_race::run()
{
    while (step())
        ++m_step;
}

// Performs one of the events that are possible now; false if none is left.
bool commit_race::step()
{
    std::vector<std::function<void()>> events;
    for (auto const& owner : m_operators) {
        if (!owner->session && owner->next < owner->script.size())
            events.emplace_back([this, owner] { begin(*owner); });
    }
    std::erase_if(m_operations, [](auto const& candidate) { return candidate->isOver; });
    for (auto const& candidate : m_operations)
        events.emplace_back([this, candidate] { advance(*candidate); });
    for (auto const& owner : m_operators) {
        if (owner->session && (owner->wakeAt || m_now >= owner->deadline))
            events.emplace_back([this, owner] { fireTimer(*owner); });
    }
    if (events.empty())
        return false;
    m_now += stepTime;
    events[choose(events.size())]();
    return true;
}

void commit_race::begin(operator_state& owner)
{
    auto request = owner.script[owner.next];
    // A repeat after an unknown outcome is the same request.
    if (m_records.empty() || m_records[owner.record].request.id != request.id) {
        if (owner.base == base_choice::Seen)
            request.baseRevision = currentRevision(request.service);
        owner.record = m_records.size();
        m_records.push_back({ request, m_step, {}, {}, {}, false });
    }
    owner.deadline = m_now + sessionTime;
    owner.session = std::make_shared<commit_session>(m_records[owner.record].request, owner.deadline);
    perform(owner, owner.session->start(m_now));
}

void commit_race::perform(operator_state& owner, std::vector<commit_action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* wait = std::get_if<wait_before_retry>(&action)) {
            owner.wakeAt = m_now + wait->delay;
        } else if (std::holds_alternative<read_object>(action) || std::holds_alternative<write_object>(action)) {
            auto call = std::make_shared<operation>();
            for (auto const& candidate : m_operators) {
                if (candidate.get() == &owner)
                    call->owner = candidate;
            }
            call->session = owner.session;
            call->action = action;
            m_operations.push_back(std::move(call));
        } else {
            finish(owner, action);
        }
    }
}

void commit_race::finish(operator_state& owner, commit_action const& outcome)
{
    auto& record = m_records[owner.record];
    owner.session.reset();
    owner.wakeAt.reset();
    if (auto const* accepted = std::get_if<commit_accepted>(&outcome))
        record.accepted = accepted->accepted;
    else
        record.failure = std::get<commit_failed>(outcome).reason;
    // While the schedule still injects faults, an operator repeats what has an unknown outcome once in two times.
    // A repeat that cannot reach the platform leaves an unknown outcome unknown; the command line does the same.
    if (record.failure && record.isInDoubt && record.failure->kind == error_kind::Unavailable)
        record.failure = lostError();
    bool const isUnknown = !record.accepted && record.failure->kind == error_kind::OutcomeUnknown;
    record.isInDoubt = record.isInDoubt || isUnknown;
    if (isUnknown && choose(2) == 1) {
        record.failure.reset();
        return;
    }
    record.returnedAt = m_step;
    ++owner.next;
}

bool commit_race::chooseFault() const
{
    return m_step < m_choices.size() && (m_choices[m_step] & faultMask) < m_faultsInSixteen;
}

store_fate commit_race::chooseFate(operation const& call) const
{
    if (!chooseFault())
        return store_fate::Answered;
    bool const isWrite = std::holds_alternative<write_object>(call.action);
    switch ((m_choices[m_step] >> kindShift) & kindMask) {
    case 0:
    case 1:
        return isWrite ? store_fate::AnswerLost : store_fate::Lost;
    case 2:
    case 3:
        return isWrite ? store_fate::LateEffect : store_fate::Lost;
    case 4:
        return store_fate::Lost;
    case 5:
        return store_fate::RateLimited;
    default:
        return store_fate::Unavailable;
    }
}

// Every now and then a daemon is paused for longer than any deadline before it sees an answer or a timer.
bool commit_race::choosePause() const { return chooseFault() && ((m_choices[m_step] >> kindShift) & kindMask) == 0; }

void commit_race::advance(operation& call)
{
    if (!call.hasFate) {
        call.hasFate = true;
        call.fate = chooseFate(call);
        if (call.fate == store_fate::Answered || call.fate == store_fate::AnswerLost)
            takeEffect(call);
        if (call.fate == store_fate::AnswerLost || call.fate == store_fate::LateEffect || call.fate == store_fate::Lost)
            call.writeAnswer = lostError();
        if (call.fate == store_fate::Unavailable)
            call.writeAnswer = error { error_kind::Unavailable, "the platform is down", "" };
        if (call.fate == store_fate::RateLimited)
            call.writeAnswer = error { error_kind::RateLimited, "too many calls", "" };
        if (call.fate != store_fate::Answered)
            call.readAnswer = call.writeAnswer.failure();
        return;
    }
    if (!call.isDelivered) {
        call.isDelivered = true;
        call.isOver = call.fate != store_fate::LateEffect;
        deliver(call);
        return;
    }
    call.isOver = true;
    takeEffect(call);
}

void commit_race::takeEffect(operation& call)
{
    if (auto const* wanted = std::get_if<read_object>(&call.action)) {
        auto const found = m_objects.find(wanted->key);
        call.readAnswer
            = found == m_objects.end() ? std::optional<stored_object>() : std::optional<stored_object>(found->second);
        return;
    }
    auto const& written = std::get<write_object>(call.action);
    auto const found = m_objects.find(written.key);
    auto const current = found == m_objects.end() ? 0 : found->second.revision;
    if (written.condition.expectedRevision && *written.condition.expectedRevision != current) {
        call.writeAnswer = error { error_kind::Conflict, "the revision is another", "" };
        return;
    }
    stored_object const object { written.key, ++m_lastRevision, written.value };
    m_objects[written.key] = object;
    call.writeAnswer = object;
    if (written.key == headKey)
        m_updates.push_back({ parseHead(written.value).releaseValue(), m_step });
}

void commit_race::deliver(operation const& call)
{
    auto const owner = call.owner.lock();
    if (choosePause())
        m_now += sessionTime;
    // A session that has ended takes late answers without a word.
    auto const actions = std::holds_alternative<read_object>(call.action)
        ? call.session->didRead(std::get<read_object>(call.action).key, call.readAnswer, m_now, m_generator)
        : call.session->didWrite(std::get<write_object>(call.action).key, call.writeAnswer, m_now, m_generator);
    if (call.session == owner->session)
        perform(*owner, actions);
    else
        m_hasLateAction = m_hasLateAction || !actions.empty();
}

void commit_race::fireTimer(operator_state& owner)
{
    m_now = std::max(m_now, choosePause() ? owner.deadline : owner.wakeAt.value_or(owner.deadline));
    owner.wakeAt.reset();
    perform(owner, owner.session->tick(m_now, m_generator));
}

std::shared_ptr<configuration_set const> commit_race::load(configuration_head const& head) const
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

std::uint64_t commit_race::currentRevision(std::string const& service) const
{
    if (m_updates.empty())
        return 0;
    auto const set = load(m_updates.back().head);
    auto const* found = set ? set->service(service) : nullptr;
    return found ? found->revision : 0;
}

// Replays the accepted versions one by one and checks each against the submission that it stands for.
struct commit_race::replay {
    commit_race const& race;
    std::shared_ptr<configuration_set const> before { configuration_set::createEmpty() };
    std::map<std::string, version_number> versionOf;

    std::optional<std::string> take(head_update const& update)
    {
        auto const& accepted = update.head.recent.back();
        std::string const name = "version " + std::to_string(update.head.version) + ": ";
        if (update.head.version != before->version() + 1 || accepted.version != update.head.version)
            return name + "a gap, or a number used twice";
        if (!versionOf.emplace(accepted.id, accepted.version).second)
            return name + "submission " + accepted.id + " was accepted twice";
        auto const after = race.load(update.head);
        if (!after)
            return name + "not whole when it was accepted";
        auto const record = std::find_if(race.m_records.begin(), race.m_records.end(),
            [&](submission_record const& candidate) { return candidate.request.id == accepted.id; });
        auto const fault = compare(*after, record->request, accepted);
        before = after;
        return fault ? std::optional<std::string>(name + *fault) : std::nullopt;
    }

    std::optional<std::string> compare(
        configuration_set const& after, submission const& request, accepted_submission const& accepted) const
    {
        auto const* old = before->service(request.service);
        if (request.baseRevision && *request.baseRevision != (old ? old->revision : 0))
            return "lost update: built on a base that was no longer current";
        auto expected = before->services();
        expected.erase(request.service);
        if (request.kind == submission_kind::Submit)
            expected[request.service] = generateServiceConfiguration(*request.answers, accepted.revision);
        if (after.services() != expected)
            return "lost update: holds another change than that of its submission";
        if (old && accepted.revision != old->revision + 1)
            return "revision does not rise by one";
        return std::nullopt;
    }
};

std::optional<std::string> commit_race::findViolation() const
{
    if (m_hasLateAction)
        return "a session acted after it had ended";
    replay history { *this };
    for (auto const& update : m_updates) {
        if (auto fault = history.take(update))
            return fault;
    }
    std::size_t number = 0;
    for (auto const& record : m_records) {
        std::string const name = "submission " + std::to_string(number++) + " (" + record.request.id + "): ";
        auto const found = history.versionOf.find(record.request.id);
        bool const isInForce = found != history.versionOf.end();
        if (record.accepted) {
            if (!isInForce || found->second != record.accepted->version)
                return name + "told accepted, but its version is not there";
            auto const& at = m_updates[record.accepted->version - 1].at;
            if (at < record.invokedAt || at > *record.returnedAt)
                return name + "took effect outside its call";
            continue;
        }
        if (record.failure->kind == error_kind::OutcomeUnknown)
            continue;
        if (isInForce)
            return name + "told " + record.failure->text() + ", but it took effect";
        if (record.failure->kind == error_kind::Conflict
            && !isChangedBetween(m_updates, record.request.service, record.invokedAt, *record.returnedAt))
            return name + "told of a conflict, but nobody else changed the service: " + record.failure->text();
    }
    return std::nullopt;
}

} // namespace merlinpier
