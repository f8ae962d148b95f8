#pragma once

#include <LibWire/crash_report.h>
#include <LibWire/shared_body.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// How urgent a call is. Reports yield to the other two.
enum class call_class : std::uint8_t { Interactive, Confirmation, Report };

// Why a target's daemon did not run a call. Each of these proves that the call was not run.
enum class refusal_reason : std::uint8_t {
    Overloaded,
    Draining,
    UnknownService,
    UnknownTarget,
    StaleGeneration,
    OtherInstance,
    DeadlineTooShort,
    HopLimit,
    Unlicensed,
    TargetUnreachable,
    // The target itself turned the call away and vouches that it did not run it.
    Shed,
    // The limit on requests that the target has announced is used up.
    RequestLimit,
    // The request has crashed the targets that ran it.
    CrashesTargets,
    // The tenant has used up what it may send.
    AllotmentUsed,
    // The body fits into no frame between daemons, and no target of the originating daemon's own VM can take it.
    BodyTooLarge,
};

// What a ledger can say about a call.
enum class call_outcome : std::uint8_t {
    Finished,
    Running,
    // Never admitted here, and the fence sees to it that it never will be: not run.
    Unknown,
    // The question is about an earlier instance, whose ledger is gone.
    CannotTell,
    // Refused: not run.
    Refused,
    // It was handed to the target, which was lost before it answered.
    OutcomeUnknown,
};

struct header_field {
    std::string name;
    std::string value;

    bool operator==(header_field const&) const = default;
};

// One call from the first daemon to the daemon of the chosen target.
struct call_request {
    std::string id;
    // The ledger addressed, from the target's member record; another instance refuses the call.
    std::uint64_t instance { 0 };
    // The generation of the connection that carries this frame.
    std::uint64_t generation { 0 };
    std::string service;
    std::string target;
    std::string entryPoint;
    std::string method;
    // Path and query as the target receives them.
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    call_class callClass { call_class::Interactive };
    bool isIdempotent { false };
    std::uint32_t remainingMs { 0 };
    std::uint32_t hops { 0 };
    // The sender's applied configuration version.
    std::uint64_t version { 0 };
    // The service that the call comes from; empty outside the mesh.
    std::string caller;
    // 0 is the most urgent.
    std::uint32_t priority { 0 };
    // What is left of the latency objective; 0 if there is none or it has passed.
    std::uint32_t objectiveMs { 0 };
    // Asks to refuse the call unless it can begin at once, since the sender has other targets to try.
    bool onlyIfFree { false };
    // The latency objective had passed when the request came: it came back after a refusal.
    bool isLate { false };
    // An earlier attempt of the call may have reached a target.
    bool isRetry { false };
    // What the sender knows of crashes under this request.
    std::vector<crash_report> crashReports {};
    // The tenant that the request belongs to; empty if it belongs to none.
    std::string tenant {};
    // The tenant's priority, which goes before that of the route; nothing if it has none.
    std::optional<std::uint32_t> tenantPriority {};
    // Whether the answer is large and may come late.
    bool isBulk { false };

    bool operator==(call_request const&) const = default;
};

// The whole answer of a target.
struct call_answer {
    std::string id;
    std::uint32_t status { 0 };
    std::vector<header_field> headers;
    shared_body body;
    // Slots in use and calls queued, in thousandths of the slots.
    std::uint32_t loadPermille { 0 };
    std::uint64_t version { 0 };
    // What the target has lately needed for calls of this kind, without waiting; 0 if it has run none.
    std::uint32_t serviceUs { 0 };
    // The target reports a failure because a call that it made itself has failed. A retry would make all its calls
    // again, at a service that is short of capacity or retries.
    bool isInnerFailure { false };
    // Start time of the target's incarnation if it has begun to leave; otherwise 0.
    std::uint64_t departedStart { 0 };
    // How long work takes on the target's VM now, in percent of the usual time; 0 if it is not known.
    std::uint32_t pacePercent { 0 };

    bool operator==(call_answer const&) const = default;
};

// The call was not run and will not be.
struct call_refused {
    std::string id;
    refusal_reason reason { refusal_reason::Overloaded };
    std::uint32_t retryAfterMs { 0 };
    std::uint32_t loadPermille { 0 };
    std::uint64_t version { 0 };
    // As in call_answer.
    std::uint32_t serviceUs { 0 };
    // With CrashesTargets: the crashes under this request.
    std::vector<crash_report> crashReports {};
    // As in call_answer.
    std::uint32_t pacePercent { 0 };

    bool operator==(call_refused const&) const = default;
};

// The target was lost while the call ran: whether it ran to its end cannot be known.
struct call_lost {
    std::string id;
    std::uint32_t loadPermille { 0 };
    std::uint64_t version { 0 };
    // What is known of crashes under this request, the one that ended this run included.
    std::vector<crash_report> crashReports {};

    bool operator==(call_lost const&) const = default;
};

// The caller no longer wants the answer.
struct call_cancel {
    std::string id;

    bool operator==(call_cancel const&) const = default;
};

// The answers of these calls arrived and need not be kept.
struct call_acknowledge {
    std::vector<std::string> ids;

    bool operator==(call_acknowledge const&) const = default;
};

// Asks what became of calls sent on earlier generations to the named instance.
struct call_query {
    std::uint64_t instance { 0 };
    std::vector<std::string> ids;
    // Also asks to refuse those of the calls that have not begun to run. Daemons of an older version ignore it.
    bool recallsWaiting { false };

    bool operator==(call_query const&) const = default;
};

struct call_status {
    std::string id;
    call_outcome outcome { call_outcome::CannotTell };
    // With Finished.
    std::optional<call_answer> answer;
    // With Refused.
    std::optional<call_refused> refusal;

    bool operator==(call_status const&) const = default;
};

struct call_query_answer {
    std::uint64_t instance { 0 };
    std::vector<call_status> statuses;

    bool operator==(call_query_answer const&) const = default;
};

} // namespace merlinpier
