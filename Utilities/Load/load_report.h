#pragma once

#include <Utilities/Load/history_checker.h>
#include <Utilities/Load/latency_summary.h>
#include <string>
#include <vector>

namespace merlinpier {

// Counts of calls by what they came to, and the latencies of those answered.
struct outcome_summary {
    std::uint64_t calls { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t cut { 0 };
    std::uint64_t wrongAnswer { 0 };
    // Sendings by the first daemon beyond the first of each call.
    std::uint64_t retries { 0 };
    latency_summary latency;

    bool operator==(outcome_summary const&) const = default;
};

outcome_summary summarizeOutcomes(std::vector<call_record> const&);

// Everything that a run reports.
struct load_report {
    std::vector<call_record> history;
    history_findings findings;
    // Targets whose ledgers could not be read, with the reason.
    std::vector<std::string> unreadLedgers;
    double rate { 0 };
    double lengthSeconds { 0 };
    std::uint64_t seed { 0 };
};

// One line of JSON. Counts and latencies at the top are those of calls through daemons; "direct" holds those of calls
// made straight to targets, "classes" those by class, "timeline" what each second's arrivals came to.
std::string reportJson(load_report const&);
// A table for people.
std::string reportTable(load_report const&);

} // namespace merlinpier
