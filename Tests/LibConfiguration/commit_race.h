#pragma once

#include <LibConfiguration/commit_session.h>
#include <LibCore/generator.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// What happens to one call of the store.
enum class store_fate {
    // It takes effect and is answered.
    Answered,
    // It takes effect; the answer is lost.
    AnswerLost,
    // It is reported as lost, and takes effect at some later time.
    LateEffect,
    // It is reported as lost, and never takes effect.
    Lost,
    Unavailable,
    RateLimited,
};

// One submission from its call to its outcome. Time is counted in steps of the race.
struct submission_record {
    submission request;
    std::size_t invokedAt { 0 };
    std::optional<std::size_t> returnedAt;
    std::optional<accepted_submission> accepted;
    std::optional<error> failure;
    // Whether an attempt ended with an unknown outcome.
    bool isInDoubt { false };
};

// One update of the head that took effect.
struct head_update {
    configuration_head head;
    std::size_t at { 0 };
};

// Several operators' commit sessions against one store. Which call takes effect next, which answer arrives next, which
// timer fires and what goes wrong is drawn from a list of numbers, so that a schedule can be repeated and shrunk.
class commit_race {
public:
    commit_race(std::vector<std::uint16_t> choices, unsigned faultsInSixteen);

    // Adds an operator who makes these submissions one after the other, repeating one whose outcome is unknown. An
    // operator who saw the base names the service's revision as it is when the submission begins.
    enum class base_choice { Seen, NotNamed };
    void addOperator(std::vector<submission>, base_choice);
    // Runs the schedule, then, without further faults, everything that is left.
    void run();

    std::vector<submission_record> const& submissions() const { return m_records; }
    std::vector<head_update> const& updates() const { return m_updates; }
    // Checks the outcomes as a history of one object that takes one submission at a time; returns the first violation.
    std::optional<std::string> findViolation() const;

private:
    struct operation;
    struct operator_state;
    struct replay;

    std::uint64_t choose(std::uint64_t bound);
    bool step();
    void begin(operator_state&);
    void perform(operator_state&, std::vector<commit_action> const&);
    void finish(operator_state&, commit_action const&);
    void advance(operation&);
    void takeEffect(operation&);
    void deliver(operation const&);
    void fireTimer(operator_state&);
    bool chooseFault() const;
    store_fate chooseFate(operation const&) const;
    bool choosePause() const;
    std::uint64_t currentRevision(std::string const& service) const;
    std::shared_ptr<configuration_set const> load(configuration_head const&) const;

    std::vector<std::uint16_t> m_choices;
    unsigned m_faultsInSixteen { 0 };
    std::size_t m_step { 0 };
    time_point m_now {};
    generator m_generator { 1 };
    std::map<std::string, stored_object> m_objects;
    std::uint64_t m_lastRevision { 0 };
    std::vector<std::shared_ptr<operator_state>> m_operators;
    std::vector<std::shared_ptr<operation>> m_operations;
    std::vector<submission_record> m_records;
    std::vector<head_update> m_updates;
    bool m_hasLateAction { false };
};

} // namespace merlinpier
