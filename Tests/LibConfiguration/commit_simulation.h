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

// The injected outcome of one call to the simulated store.
enum class store_outcome {
    // The call takes effect and is answered.
    Answered,
    // The call takes effect, but its answer is lost.
    AnswerLost,
    // The call is reported as lost and takes effect later.
    LateEffect,
    // The call is reported as lost and never takes effect.
    Lost,
    Unavailable,
    RateLimited,
};

// One submission with the steps of its invocation and return, and its outcome.
struct submission_record {
    submission request;
    std::size_t invocationStep { 0 };
    std::optional<std::size_t> returnStep;
    std::optional<accepted_submission> accepted;
    std::optional<error> failure;
    // Whether an attempt of the submission ended with an unknown outcome.
    bool hadUnknownOutcome { false };
};

// An update of the head that took effect, with its step.
struct head_update {
    configuration_head head;
    std::size_t step { 0 };
};

// Simulates the commit sessions of several operators against one store. A list of numbers determines which call takes
// effect, which answer arrives, which timer fires and which fault is injected at each step, so that a schedule can be
// repeated and shrunk.
class commit_simulation {
public:
    // Takes one number per step. A fault is injected if the number's lowest four bits are below faultSixteenths.
    commit_simulation(std::vector<std::uint16_t> choices, unsigned faultSixteenths);

    // Adds an operator who makes the submissions in order and may repeat one whose outcome is unknown. With Current,
    // each submission gives the service's current revision as its base when it begins.
    enum class base_choice { Current, Unspecified };
    void addOperator(std::vector<submission>, base_choice);
    // Runs the schedule, and then all remaining events without faults.
    void run();

    std::vector<submission_record> const& submissions() const { return m_records; }
    std::vector<head_update> const& updates() const { return m_updates; }
    // Checks that the outcomes are linearizable, as a history of one object that takes one submission at a time.
    // Returns the first violation.
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
    void applyToStore(operation&);
    void deliver(operation const&);
    void fireTimer(operator_state&);
    bool shouldInjectFault() const;
    store_outcome chooseOutcome(operation const&) const;
    bool shouldPause() const;
    std::uint64_t currentRevision(std::string const& service) const;
    std::shared_ptr<configuration_set const> load(configuration_head const&) const;

    std::vector<std::uint16_t> m_choices;
    unsigned m_faultSixteenths { 0 };
    std::size_t m_step { 0 };
    time_point m_now {};
    generator m_generator { 1 };
    std::map<std::string, stored_object> m_objects;
    std::uint64_t m_lastRevision { 0 };
    std::vector<std::shared_ptr<operator_state>> m_operators;
    std::vector<std::shared_ptr<operation>> m_operations;
    std::vector<submission_record> m_records;
    std::vector<head_update> m_updates;
    bool m_hasActionAfterEnd { false };
};

} // namespace merlinpier
