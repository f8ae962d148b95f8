#include "commit_runner.h"

namespace merlinpier {

void commit_runner::run(object_store& store, timer_service& timers, submission wanted,
    std::shared_ptr<configuration_set const> known, duration timeout, std::uint64_t seed, commit_callback callback)
{
    auto const now = currentTime();
    commit_session session(std::move(wanted), now + timeout, std::move(known));
    std::shared_ptr<commit_runner> const runner(
        new commit_runner(store, timers, std::move(session), seed, std::move(callback)));
    // A store that never answers must not keep the operator waiting.
    timers.runAfter(timeout, [runner] { runner->tick(); });
    std::vector<commit_action> actions;
    actions = runner->m_session.start(now);
    runner->carryOut(std::move(actions));
}

commit_runner::commit_runner(
    object_store& store, timer_service& timers, commit_session session, std::uint64_t seed, commit_callback callback)
    : m_store(store)
    , m_timers(timers)
    , m_callback(std::move(callback))
    , m_session(std::move(session))
    , m_generator(seed)
{
}

void commit_runner::carryOut(std::vector<commit_action> actions)
{
    auto const self = shared_from_this();
    for (auto& action : actions) {
        if (auto const* wanted = std::get_if<read_object>(&action)) {
            m_store.read(wanted->key, [self, key = wanted->key](result<std::optional<stored_object>> const& answer) {
                std::vector<commit_action> next;
                next = self->m_session.didRead(key, answer, currentTime(), self->m_generator);
                self->carryOut(std::move(next));
            });
        } else if (auto* written = std::get_if<write_object>(&action)) {
            m_store.write(written->key, std::move(written->value), written->condition,
                [self, key = written->key](result<stored_object> const& answer) {
                    std::vector<commit_action> next;
                    next = self->m_session.didWrite(key, answer, currentTime(), self->m_generator);
                    self->carryOut(std::move(next));
                });
        } else if (auto const* wait = std::get_if<wait_before_retry>(&action)) {
            m_timers.runAfter(wait->delay, [self] { self->tick(); });
        } else if (auto const* accepted = std::get_if<commit_accepted>(&action)) {
            finish(accepted->accepted);
        } else if (auto const* failed = std::get_if<commit_failed>(&action)) {
            finish(failed->reason);
        }
    }
}

void commit_runner::tick()
{
    std::vector<commit_action> next;
    next = m_session.tick(currentTime(), m_generator);
    carryOut(std::move(next));
}

void commit_runner::finish(result<accepted_submission> outcome)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_callback(std::move(outcome));
}

} // namespace merlinpier
