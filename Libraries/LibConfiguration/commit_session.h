#pragma once

#include <LibConfiguration/configuration_head.h>
#include <LibConfiguration/questionnaire.h>
#include <LibCore/generator.h>
#include <LibCore/time.h>
#include <LibPlatform/object_store.h>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace merlinpier {

enum class submission_kind { Submit, Remove };

// An operator's request to add, change or remove the configuration of one service.
struct submission {
    // Idempotency key chosen by the operator's tool: a repeat with the same identifier gives the same outcome.
    std::string id;
    submission_kind kind { submission_kind::Submit };
    // The service to remove, or the service that the answers describe.
    std::string service;
    std::optional<questionnaire> answers;
    // The revision of the service that the change is based on; 0 for a service that must not exist yet. Without a
    // value, the revision that the session reads first is the base.
    std::optional<std::uint64_t> baseRevision;

    bool operator==(submission const&) const = default;
};

// Asks the owner of the session to read an object and to report the result by didRead().
struct read_object {
    std::string key;
    bool operator==(read_object const&) const = default;
};
// Asks the owner to write an object on the given condition and to report the result by didWrite().
struct write_object {
    std::string key;
    std::string value;
    write_condition condition;
    bool operator==(write_object const&) const = default;
};
// Asks the owner to call tick() after a delay. An early tick() returns the remaining delay.
struct wait_before_retry {
    duration delay { 0 };
    bool operator==(wait_before_retry const&) const = default;
};
// The submission was accepted.
struct commit_accepted {
    accepted_submission accepted;
    bool operator==(commit_accepted const&) const = default;
};
// The submission was not accepted, or its outcome is unknown:
// - Conflict: the service has changed since the base revision; the message names both revisions.
// - BadInput: the message names the rule that the submission violates.
// - NotFound: the service to remove does not exist.
// - Unavailable: the platform did not answer before the deadline.
// - Corrupt: an object of the platform differs from what merlinpier wrote.
// - Refused: the platform's head is older than the version applied here.
// - OutcomeUnknown: the update of the head may have taken effect, but that could not be confirmed. Only this error of a
//   first attempt leaves the outcome unknown. The operator repeats the submission with the same identifier.
// A repeat that fails with Unavailable, Corrupt, Refused or OutcomeUnknown leaves the outcome unknown. If it fails with
// Conflict, BadInput or NotFound, no attempt took effect, unless the head no longer lists all versions accepted since.
struct commit_failed {
    error reason;
    bool operator==(commit_failed const&) const = default;
};
using commit_action = std::variant<read_object, write_object, wait_before_retry, commit_accepted, commit_failed>;

// Commits one submission by optimistic concurrency control: reads the head, its manifest and fragments, generates and
// validates the new set, writes the new immutable objects, then updates the head on condition that it has not changed.
// If the head has changed, the session rebases when only other services changed, and fails with Conflict otherwise.
// After an update of the head with unknown outcome, it reads the head again and looks for its own identifier. Failed
// calls are retried with jittered back-off until the deadline.
//
// A state machine without I/O, clock or random source. The owner may perform the returned actions in any order or
// concurrently. Once the deadline has passed, it may call tick() to end a session whose calls are not answered. Results
// that are reported after commit_accepted or commit_failed are ignored.
class commit_session {
public:
    // The applied set is the one that this daemon uses, or null for the empty set. Its fragments are not read from the
    // platform again, and a head below its version is refused.
    commit_session(submission, time_point deadline, std::shared_ptr<configuration_set const> appliedSet = nullptr);

    std::vector<commit_action> start(time_point now);
    std::vector<commit_action> didRead(
        std::string const& key, result<std::optional<stored_object>> const&, time_point now, generator&);
    std::vector<commit_action> didWrite(
        std::string const& key, result<stored_object> const&, time_point now, generator&);
    std::vector<commit_action> tick(time_point now, generator&);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace merlinpier
