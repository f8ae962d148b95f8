#pragma once

#include <LibConfiguration/commit_session.h>
#include <LibCore/timer_service.h>
#include <LibPlatform/object_store.h>
#include <functional>
#include <memory>

namespace merlinpier {

// Receives the outcome of one submission.
using commit_callback = std::function<void(result<accepted_submission>)>;

// Carries one submission through the platform: drives a commit_session with the store's answers. Keeps itself alive
// until the outcome is known.
class commit_runner : public std::enable_shared_from_this<commit_runner> {
public:
    // Fragments of the known set are not read from the platform again. The outcome is known at the timeout at the
    // latest.
    static void run(object_store&, timer_service&, submission, std::shared_ptr<configuration_set const> known,
        duration timeout, std::uint64_t seed, commit_callback);

private:
    commit_runner(object_store&, timer_service&, commit_session, std::uint64_t seed, commit_callback);
    void tick();
    void carryOut(std::vector<commit_action>);
    void finish(result<accepted_submission>);

    object_store& m_store;
    timer_service& m_timers;
    commit_callback m_callback;
    commit_session m_session;
    generator m_generator;
    bool m_isFinished { false };
};

} // namespace merlinpier
