#include <CLI/CLI.hpp>
#include <Utilities/Load/load_session.h>

namespace {

using merlinpier::milliseconds;

constexpr int exitBadUsage = 2;

constexpr char const* description
    = "merlinpier-load: sends calls at their intended times, whatever becomes of earlier ones, and checks every "
      "answer.\n"
      "Examples:\n"
      "  merlinpier-load --daemon 127.0.0.1:8080 --mix examples/targowisko/slots.json --rate 200 --seconds 10\n"
      "  merlinpier-load --daemon 127.0.0.1:8080 --direct 127.0.0.1:9001 --service slots --path /slots/1\n"
      "  merlinpier-load --daemon 127.0.0.1:8080 --mix examples/targowisko/bookings.json --ledger 127.0.0.1:9001\n"
      "Exit codes: 0 done, 1 a call was doubled, falsely called not run, or wrongly answered, 2 bad usage.";

// What the command line holds in units of its own.
struct raw_options {
    double seconds { 10 };
    std::int64_t workMs { -1 };
    std::int64_t deadlineMs { 0 };
    double directRate { 0 };
    std::string callClass { "interactive" };
    bool isIdempotent { false };
    bool isEven { false };
    bool isJsonOnly { false };
};

void addPlanOptions(CLI::App& app, merlinpier::load_options& options, raw_options& raw)
{
    app.add_option("--daemon", options.plan.daemons, "IP:PORT of a daemon to call; repeatable");
    app.add_option("--direct", options.plan.directTargets, "IP:PORT of a target to call straight; repeatable");
    app.add_option("--ledger", options.ledgers, "IP:PORT of a target whose ledger is compared; repeatable");
    app.add_option("--rate", options.plan.rate, "calls a second through the daemons")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--direct-rate", raw.directRate, "calls a second straight to targets; as --rate if not given")
        ->check(CLI::PositiveNumber);
    app.add_option("--seconds", raw.seconds, "length of the run")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--seed", options.plan.seed, "seed of arrivals and calls")->capture_default_str();
    app.add_option("--clients", options.plan.clients, "HTTP clients, each with a thread")
        ->check(CLI::Range(1, 64))
        ->capture_default_str();
    app.add_flag("--even", raw.isEven, "the same time between any two calls; random otherwise");
    app.add_flag("--json", raw.isJsonOnly, "write the JSON result only");
}

void addCallOptions(CLI::App& app, merlinpier::load_options& options, raw_options& raw)
{
    app.add_option("--mix", options.mixFiles, "questionnaire whose entry points are called; repeatable")
        ->check(CLI::ExistingFile);
    app.add_option("--service", options.entry.service, "without --mix: service to call");
    app.add_option("--method", options.entry.method, "without --mix: method")->capture_default_str();
    app.add_option("--path", options.entry.path, "without --mix: path, such as /slots/{hall}");
    app.add_option("--class", raw.callClass, "without --mix: class")
        ->check(CLI::IsMember({ "interactive", "confirmation", "report" }))
        ->capture_default_str();
    app.add_flag("--idempotent", raw.isIdempotent, "without --mix: the call is idempotent, as a GET always is");
    app.add_option("--depth", options.shape.depth, "services that a call passes through")
        ->check(CLI::Range(1, 16))
        ->capture_default_str();
    app.add_option("--body-bytes", options.shape.bodyBytes, "least length of a request's body")->capture_default_str();
    app.add_option("--padding-bytes", options.shape.paddingBytes, "length added to an answer")->capture_default_str();
    app.add_option("--work-ms", raw.workMs, "work time of a call; the target's own if not given");
    app.add_option("--deadline-ms", raw.deadlineMs, "deadline of a call; the entry point's own if not given")
        ->check(CLI::PositiveNumber);
    app.add_flag("--idempotency-key", options.shape.hasIdempotencyKey, "send the request identifier as key");
}

merlinpier::call_class classOf(std::string const& name)
{
    if (name == "confirmation")
        return merlinpier::call_class::Confirmation;
    return name == "report" ? merlinpier::call_class::Report : merlinpier::call_class::Interactive;
}

void convert(merlinpier::load_options& options, raw_options const& raw)
{
    options.plan.length = std::chrono::duration_cast<merlinpier::duration>(std::chrono::duration<double>(raw.seconds));
    options.plan.spread = raw.isEven ? merlinpier::arrival_spread::Even : merlinpier::arrival_spread::Random;
    options.plan.directRate = raw.directRate > 0 ? raw.directRate : options.plan.rate;
    options.entry.callClass = classOf(raw.callClass);
    options.entry.isIdempotent = raw.isIdempotent || options.entry.method == "GET";
    options.format = raw.isJsonOnly ? merlinpier::report_format::JsonOnly : merlinpier::report_format::TableAndJson;
    if (raw.workMs >= 0)
        options.shape.work = milliseconds(raw.workMs);
    if (raw.deadlineMs > 0)
        options.shape.deadline = milliseconds(raw.deadlineMs);
}

// Returns what is contradictory or missing, or an empty text.
std::string findUsageFault(merlinpier::load_options const& options)
{
    if (options.plan.daemons.empty() && options.plan.directTargets.empty())
        return "give --daemon or --direct at least once";
    if (options.mixFiles.empty() && (options.entry.service.empty() || options.entry.path.empty()))
        return "give --mix FILE, or --service and --path";
    return {};
}

} // namespace

int main(int argumentCount, char** arguments)
{
    CLI::App app { description };
    app.set_version_flag("--version", MERLINPIER_VERSION);
    merlinpier::load_options options;
    raw_options raw;
    addPlanOptions(app, options, raw);
    addCallOptions(app, options, raw);
    try {
        app.parse(argumentCount, arguments);
    } catch (CLI::ParseError const& failure) {
        return app.exit(failure) == 0 ? 0 : exitBadUsage;
    }
    convert(options, raw);
    if (auto const fault = findUsageFault(options); !fault.empty()) {
        std::cerr << fault << std::endl;
        return exitBadUsage;
    }
    return merlinpier::runLoad(options);
}
