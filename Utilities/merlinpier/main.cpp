// The operators' command line: fills in, checks, submits and follows the configuration through any daemon.

#include <LibConfiguration/questionnaire.h>
#include <LibConfiguration/questionnaire_rules.h>
#include <LibNet/endpoint.h>
#include <LibOperator/operator_commands.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

namespace merlinpier {

namespace {

constexpr char const* footer = R"(Examples:
  merlinpier template slots > slots.json
  merlinpier check slots.json --daemon 10.0.0.1:8080
  merlinpier submit slots.json --wait --daemon 10.0.0.1:8080 --daemon 10.0.1.1:8080
  merlinpier show slots --answers --daemon 10.0.0.1:8080 > slots.json
  merlinpier revise slots.json --base 1 --daemon 10.0.0.1:8080
  merlinpier status --wait 2 --timeout 60 --daemon 10.0.0.1:8080
  merlinpier dump vm-a1 --daemon 10.0.0.1:8080
  merlinpier suspects --daemon 10.0.0.1:8080
  merlinpier lift 9f3ad2c81be07745 --daemon 10.0.0.1:8080
  merlinpier rollout status slots --daemon 10.0.0.1:8080
  merlinpier explain --host shop.example --path /orders/7 --daemon 10.0.0.1:8080
  merlinpier tenants --daemon 10.0.0.1:8080
  merlinpier tenant hule930 --daemon 10.0.0.1:8080

Exit codes:
  0  done
  1  the input is bad or was refused
  2  the command line is wrong
  3  conflict: somebody else changed the service first
  4  no daemon, or not the platform, could be reached; nothing was changed
  5  outcome unknown: repeat the command with the --id that it printed
  6  the version was not in force everywhere before --timeout was over)";

class steady_clock final : public operator_clock {
public:
    time_point now() override { return currentTime(); }
    void sleep(duration time) override { std::this_thread::sleep_for(time); }
};

// What the command line says.
struct command_line {
    std::vector<std::string> daemons;
    bool json { false };
    int timeoutSeconds { 30 };
    std::string service;
    std::string file;
    std::string base;
    std::string id;
    bool waits { false };
    std::uint64_t waitedVersion { 0 };
    bool answersAlone { false };
    std::string vm;
    std::string request;
    std::string rolloutAction;
    explained_request explained;
    std::int64_t explainedDeadlineMs { 0 };
    std::string tenant;
};

// CLI11 validators return an empty text for what is valid.
std::string endpointFault(std::string const& text)
{
    auto const parsed = parseEndpoint(text);
    return parsed.isError() ? parsed.failure().text() : std::string();
}

std::string serviceFault(std::string const& text)
{
    return isServiceName(text) ? std::string()
                               : "\"" + text + "\" is no service name: use lower-case letters, digits and hyphens";
}

std::string baseFault(std::string const& text)
{
    bool const isNumber
        = !text.empty() && text.size() < 19 && text.find_first_not_of("0123456789") == std::string::npos;
    return isNumber || text == "current" ? std::string()
                                         : "give a revision number, or \"current\" for whatever is current";
}

void addChangeOptions(CLI::App& command, command_line& line)
{
    command.add_option("--id", line.id, "Identifier of an earlier attempt whose outcome is unknown");
    command.add_flag("--wait", line.waits, "Wait until the new version is in force on every live daemon");
}

void addBaseOption(CLI::App& command, command_line& line)
{
    command
        .add_option("--base", line.base, "Revision that the change builds on, or \"current\" for whatever is current")
        ->required()
        ->check(baseFault);
}

void addFileOption(CLI::App& command, command_line& line)
{
    command.add_option("file", line.file, "JSON file with the answers")->required()->check(CLI::ExistingFile);
}

void addExplainCommand(CLI::App& app, command_line& line)
{
    auto* const explain = app.add_subcommand("explain", "Show where a daemon would send a request now, and why");
    auto& request = line.explained;
    auto* const host = explain->add_option("--host", request.host, "Host of the request");
    auto* const service = explain->add_option("--service", request.service, "Service, instead of a host with routes")
                              ->check(serviceFault)
                              ->excludes(host);
    host->excludes(service);
    explain->add_option("--path", request.path, "Path of the request")->required();
    explain->add_option("--method", request.method, "Method of the request")->capture_default_str();
    explain->add_option("--tenant", request.tenant, "Name of the tenant, not its key");
    explain->add_option("--deadline", line.explainedDeadlineMs, "Milliseconds that the caller allows")
        ->check(CLI::PositiveNumber);
}

void addCommands(CLI::App& app, command_line& line)
{
    auto* const templateCommand = app.add_subcommand("template", "Print a filled-in questionnaire to start from");
    templateCommand->add_option("service", line.service, "Name of the service")->required()->check(serviceFault);
    addFileOption(*app.add_subcommand("check", "Check answers and show what is generated from them"), line);
    auto* const submit = app.add_subcommand("submit", "Submit the answers of a new service");
    addFileOption(*submit, line);
    addChangeOptions(*submit, line);
    auto* const revise = app.add_subcommand("revise", "Submit changed answers of a service");
    addFileOption(*revise, line);
    addBaseOption(*revise, line);
    addChangeOptions(*revise, line);
    auto* const remove = app.add_subcommand("remove", "Remove a service");
    remove->add_option("service", line.service, "Name of the service")->required()->check(serviceFault);
    addBaseOption(*remove, line);
    addChangeOptions(*remove, line);
    auto* const show = app.add_subcommand("show", "List the services, or show one");
    auto* const shown = show->add_option("service", line.service, "Name of the service")->check(serviceFault);
    show->add_flag("--answers", line.answersAlone, "Print its answers alone, to be edited")->needs(shown);
    app.add_subcommand("history", "List the recent accepted submissions");
    auto* const status = app.add_subcommand("status", "Show which daemon has applied which version");
    status->add_option("--wait", line.waitedVersion, "Wait until this version is in force")->check(CLI::PositiveNumber);
    app.add_subcommand("suspects", "List the requests that are suspected of crashing targets, or blocked for it");
    auto* const lift = app.add_subcommand("lift", "Let such a request run again");
    lift->add_option("request", line.request, "Its fingerprint: 16 hexadecimal digits")->required();
    auto* const rollout = app.add_subcommand("rollout", "List rollouts, show one, or roll one back");
    rollout->add_option("action", line.rolloutAction, "list, status or abort")
        ->required()
        ->check(CLI::IsMember({ "list", "status", "abort" }));
    rollout->add_option("service", line.service, "Name of the service, for status and abort");
    addExplainCommand(app, line);
    app.add_subcommand("tenants", "List the tenants with their limits and their use at a daemon");
    auto* const tenant = app.add_subcommand("tenant", "Show one tenant: quota, use, and what was refused at a daemon");
    tenant->add_option("name", line.tenant, "Its name")->required();
    auto* const dump = app.add_subcommand("dump", "Print the state of a daemon as JSON");
    dump->add_option("vm", line.vm, "Name of the daemon's VM")->required();
}

void addOptions(CLI::App& app, command_line& line)
{
    app.set_version_flag("--version", std::string("merlinpier ") + MERLINPIER_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--daemon", line.daemons,
           "HTTP address of a daemon, such as 10.0.0.1:8080; repeat it to name others for when one cannot be reached")
        ->check(endpointFault)
        ->allow_extra_args(false);
    app.add_flag("--json", line.json, "Print the daemon's answer as JSON, for scripts");
    app.add_option("--timeout", line.timeoutSeconds, "Seconds to spend on a change, and on waiting")
        ->check(CLI::Range(1, 24 * 60 * 60))
        ->capture_default_str();
    addCommands(app, line);
}

std::string readFile(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

change_options changeOptions(command_line const& line)
{
    change_options options;
    if (line.base != "current")
        options.baseRevision = line.base.empty() ? 0 : std::stoull(line.base);
    options.id = line.id;
    options.waitsUntilInForce = line.waits;
    options.timeout = seconds(line.timeoutSeconds);
    return options;
}

exit_code runShow(operator_commands& commands, command_line const& line)
{
    if (line.service.empty())
        return commands.showAll();
    return line.answersAlone ? commands.showAnswers(line.service) : commands.show(line.service);
}

exit_code runExplain(operator_commands& commands, command_line const& line)
{
    auto request = line.explained;
    if (line.explainedDeadlineMs > 0)
        request.deadline = milliseconds(line.explainedDeadlineMs);
    return commands.explain(request);
}

exit_code run(std::string const& command, operator_commands& commands, command_line const& line)
{
    if (command == "check")
        return line.daemons.empty() ? commands.checkOffline(readFile(line.file)) : commands.check(readFile(line.file));
    if (command == "submit" || command == "revise")
        return commands.submit(readFile(line.file), changeOptions(line));
    if (command == "remove")
        return commands.remove(line.service, changeOptions(line));
    if (command == "show")
        return runShow(commands, line);
    if (command == "history")
        return commands.history();
    if (command == "suspects")
        return commands.suspects();
    if (command == "lift")
        return commands.lift(line.request);
    if (command == "rollout") {
        if (line.rolloutAction == "list")
            return commands.rollouts();
        if (line.service.empty())
            return exit_code::Usage;
        return line.rolloutAction == "abort" ? commands.abortRollout(line.service) : commands.rollouts(line.service);
    }
    if (command == "tenants")
        return commands.tenants();
    if (command == "tenant")
        return commands.tenant(line.tenant);
    if (command == "dump")
        return commands.dump(line.vm);
    if (command == "explain")
        return runExplain(commands, line);
    if (line.waitedVersion > 0)
        return commands.waitUntilInForce(line.waitedVersion, seconds(line.timeoutSeconds));
    return commands.status();
}

exit_code runCommand(std::string const& command, command_line const& line)
{
    if (command == "template") {
        std::cout << questionnaireTemplate(line.service);
        return exit_code::Success;
    }
    if (line.daemons.empty() && command != "check") {
        std::cerr << command << " needs a daemon: name one with --daemon IP:PORT\n";
        return exit_code::Usage;
    }
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device() };
    generator source(seed);
    steady_clock clock;
    auto const http = http_client::create();
    daemon_client client(*http, line.daemons);
    auto const format = line.json ? output_format::Json : output_format::Text;
    operator_commands commands(client, clock, source, std::cout, std::cerr, format);
    return run(command, commands, line);
}

} // namespace

} // namespace merlinpier

int main(int argumentCount, char** arguments)
{
    CLI::App app("Submits, revises and follows the configuration of a service mesh.", "merlinpier");
    merlinpier::command_line line;
    merlinpier::addOptions(app, line);
    try {
        app.parse(argumentCount, arguments);
    } catch (CLI::ParseError const& failure) {
        auto const isHelp = app.exit(failure) == 0;
        return static_cast<int>(isHelp ? merlinpier::exit_code::Success : merlinpier::exit_code::Usage);
    }
    return static_cast<int>(merlinpier::runCommand(app.get_subcommands().front()->get_name(), line));
}
