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

// What an operator asks for.
struct submission {
    // Chosen by the operator's tool; a repeat with the same identifier gives the same outcome.
    std::string id;
    submission_kind kind { submission_kind::Submit };
    // The service for Remove; the answers' service for Submit.
    std::string service;
    std::optional<questionnaire> answers;
    // The revision of the service that the operator saw: 0 for a service that must be new. Nothing: whatever is
    // current.
    std::optional<std::uint64_t> baseRevision;

    bool operator==(submission const&) const = default;
};

// Asks the owner to read an object and to report by didRead().
struct read_object {
    std::string key;
    bool operator==(read_object const&) const = default;
};
// Asks the owner to write an object and to report by didWrite().
struct write_object {
    std::string key;
    std::string value;
    write_condition condition;
    bool operator==(write_object const&) const = default;
};
// Asks the owner to call tick() after a delay. A tick that comes early gives the rest of the delay again.
struct wait_before_retry {
    duration delay { 0 };
    bool operator==(wait_before_retry const&) const = default;
};
// The submission was accepted.
struct commit_accepted {
    accepted_submission accepted;
    bool operator==(commit_accepted const&) const = default;
};
// The submission was not accepted: Conflict names both revisions; BadInput the rule broken; NotFound a service that is
// to be removed and does not exist; Unavailable the platform, which did not answer before the deadline; Corrupt an
// object of the platform that is not what merlinpier wrote; Refused a platform whose head is older than the version
// applied here. OutcomeUnknown, alone, if the head's update may have taken effect and could not be read back before the
// deadline: the same submission, repeated with its identifier, finds out. A repeat that ends with Unavailable has found
// out nothing, so the outcome stays unknown; every other failure of a repeat proves that no attempt took effect.
struct commit_failed {
    error reason;
    bool operator==(commit_failed const&) const = default;
};
using commit_action = std::variant<read_object, write_object, wait_before_retry, commit_accepted, commit_failed>;

// Carries one submission to its outcome: reads the head, its manifest and fragments, generates and validates the new
// set, writes the immutable objects that are new, then updates the head on condition that it has not changed. If it
// has: rebases when only other services changed, or fails with Conflict. After an unknown outcome it reads the head
// again and looks for its own identifier. Failed calls are repeated with jittered back-off until the deadline. The
// owner performs the actions in any order, several at a time, and may call tick() once the deadline has passed to end a
// session whose calls are not answered; reports after the last action change nothing. Holds no I/O, clock or random
// source.
class commit_session {
public:
    // Fragments of the known set are not read from the platform again.
    commit_session(submission, time_point deadline, std::shared_ptr<configuration_set const> known = nullptr);

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
