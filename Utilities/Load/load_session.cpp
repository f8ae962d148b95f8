#include <Utilities/Load/load_session.h>

#include <LibCore/timer_thread.h>
#include <Utilities/Load/ledger_reader.h>
#include <Utilities/Load/load_report.h>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <unistd.h>

namespace merlinpier {

namespace {

constexpr int exitClean = 0;
constexpr int exitViolated = 1;
constexpr int exitBadUsage = 2;
constexpr milliseconds progressPeriod { 1000 };

result<questionnaire> readQuestionnaire(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return error { error_kind::BadInput, "cannot read " + path, "give --mix the path of a questionnaire" };
    std::stringstream content;
    content << file.rdbuf();
    auto answers = parseQuestionnaire(content.str());
    if (answers.isError())
        return error { answers.failure().kind, path + ": " + answers.failure().message, answers.failure().remedy };
    return answers;
}

// Sets the request identifiers of this run apart from those of earlier runs, which the ledgers still hold.
std::string makeRunName() { return "r" + std::to_string(std::random_device {}()); }

void printProgress(load_progress const& progress)
{
    std::cerr << "\rsent " << progress.sent << ", ended " << progress.ended << ", answered " << progress.answered
              << std::flush;
}

std::vector<call_record> runWithProgress(load_runner& runner)
{
    timer_thread timers;
    bool const isTerminal = isatty(STDERR_FILENO) != 0;
    timer_subscription progressTimer;
    if (isTerminal)
        progressTimer = timers.subscribe(progressPeriod, [&runner] { printProgress(runner.progress()); });
    auto history = runner.run();
    timers.stop();
    if (isTerminal)
        std::cerr << std::endl;
    return history;
}

std::vector<std::string> readLedgers(std::vector<std::string> const& addresses, std::vector<std::string>& unread)
{
    auto client = http_client::create();
    std::vector<std::string> requestIds;
    for (auto const& address : addresses) {
        auto ledger = readLedger(*client, address);
        if (ledger.isError()) {
            unread.push_back(address + ": " + ledger.failure().message);
            continue;
        }
        requestIds.insert(requestIds.end(), ledger.value().begin(), ledger.value().end());
    }
    return requestIds;
}

// Without any ledger there is nothing to compare with; answered calls would all seem to be without a run.
history_findings compareWithLedgers(load_options const& options, load_report& report)
{
    if (options.ledgers.empty())
        return {};
    return checkHistory(report.history, readLedgers(options.ledgers, report.unreadLedgers));
}

bool isViolated(load_report const& report)
{
    auto const summary = summarizeOutcomes(report.history);
    return report.findings.doubled > 0 || report.findings.falseNotRun > 0 || summary.wrongAnswer > 0;
}

} // namespace

result<request_mix> loadMix(load_options const& options)
{
    if (options.mixFiles.empty())
        return request_mix::tryCreate(std::vector<mix_entry> { options.entry });
    std::vector<questionnaire> services;
    for (auto const& path : options.mixFiles)
        services.push_back(TRY(readQuestionnaire(path)));
    return request_mix::tryCreate(services);
}

int runLoad(load_options const& options)
{
    auto mix = loadMix(options);
    if (mix.isError()) {
        std::cerr << mix.failure().text() << std::endl;
        return exitBadUsage;
    }
    load_runner runner(options.plan, call_planner(mix.releaseValue(), options.shape, makeRunName(), options.plan.seed));
    load_report report;
    report.history = runWithProgress(runner);
    report.findings = compareWithLedgers(options, report);
    report.rate = options.plan.rate;
    report.lengthSeconds = std::chrono::duration<double>(options.plan.length).count();
    report.seed = options.plan.seed;
    if (options.format == report_format::TableAndJson)
        std::cout << reportTable(report);
    std::cout << reportJson(report) << std::endl;
    return isViolated(report) ? exitViolated : exitClean;
}

} // namespace merlinpier
