#pragma once

#include <Utilities/Load/answer_judge.h>
#include <cstdint>
#include <string>
#include <vector>

namespace merlinpier {

// What a caller knows of one call once it has ended.
struct call_record {
    std::string requestId;
    call_route route { call_route::ThroughDaemon };
    call_class callClass { call_class::Interactive };
    bool isIdempotent { true };
    caller_outcome outcome { caller_outcome::Failed };
    // Intended start, counted from the start of the run.
    duration startedAt { 0 };
    // From the intended start to the end.
    duration latency { 0 };
    // How often the first daemon sent it out; 0 if not told.
    unsigned attempts { 0 };

    bool operator==(call_record const&) const = default;
};

// What the callers' history and the targets' ledgers say together.
struct history_findings {
    // Non-idempotent requests, links of chains included, that ran more than once.
    std::uint64_t doubled { 0 };
    // Requests of which the caller was told that they were not run, but which a ledger lists.
    std::uint64_t falseNotRun { 0 };
    // Answered requests that no ledger lists; to be expected if a target was killed with its ledger.
    std::uint64_t answeredWithoutRun { 0 };
    // A few request identifiers of the first two kinds, to look into.
    std::vector<std::string> examples;

    bool operator==(history_findings const&) const = default;
};

// Compares the callers' history with the request identifiers of all runs in the targets' ledgers, one for each run.
history_findings checkHistory(std::vector<call_record> const&, std::vector<std::string> const& ledgerRequestIds);

} // namespace merlinpier
