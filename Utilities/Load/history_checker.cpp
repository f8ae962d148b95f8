#include <Utilities/Load/history_checker.h>

#include <absl/container/flat_hash_map.h>

namespace merlinpier {

namespace {

constexpr std::size_t maximumExamples = 10;
constexpr char const* nextLinkSuffix = ".n";

using run_counts = absl::flat_hash_map<std::string, std::uint64_t>;

std::uint64_t countRuns(run_counts const& runs, std::string const& requestId)
{
    auto const found = runs.find(requestId);
    return found == runs.end() ? 0 : found->second;
}

// Whether the request, or a link of the chain behind it, ran more than once.
bool ranTwice(run_counts const& runs, std::string requestId)
{
    for (auto count = countRuns(runs, requestId); count > 0; count = countRuns(runs, requestId)) {
        if (count > 1)
            return true;
        requestId += nextLinkSuffix;
    }
    return false;
}

void addExample(history_findings& findings, std::string const& requestId)
{
    if (findings.examples.size() < maximumExamples)
        findings.examples.push_back(requestId);
}

} // namespace

history_findings checkHistory(std::vector<call_record> const& history, std::vector<std::string> const& ledgerRequestIds)
{
    run_counts runs;
    for (auto const& requestId : ledgerRequestIds)
        ++runs[requestId];
    history_findings findings;
    for (auto const& call : history) {
        bool const isDoubled = !call.isIdempotent && ranTwice(runs, call.requestId);
        bool const hasRun = countRuns(runs, call.requestId) > 0;
        bool const isFalseNotRun = call.outcome == caller_outcome::NotRun && hasRun;
        findings.doubled += isDoubled ? 1 : 0;
        findings.falseNotRun += isFalseNotRun ? 1 : 0;
        findings.answeredWithoutRun += call.outcome == caller_outcome::Answered && !hasRun ? 1 : 0;
        if (isDoubled || isFalseNotRun)
            addExample(findings, call.requestId);
    }
    return findings;
}

} // namespace merlinpier
