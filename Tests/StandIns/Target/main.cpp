#include <CLI/CLI.hpp>
#include <LibCore/log.h>
#include <LibCore/termination_signal.h>
#include <Tests/StandIns/Target/target_process.h>
#include <Tests/StandIns/listen_option.h>
#include <iostream>

namespace {

constexpr int exitStopped = 0;
constexpr int exitBadUsage = 2;
constexpr int exitCannotListen = 3;
constexpr unsigned maximumConnections = 1024;

// What the command line holds before it is checked.
struct target_options {
    merlinpier::target_settings settings;
    std::string listen { "127.0.0.1:0" };
    std::int64_t workMs { 0 };
    std::int64_t coldStartMs { 0 };
    bool isLying { false };
};

void addOptions(CLI::App& app, target_options& options)
{
    app.set_version_flag("--version", MERLINPIER_VERSION);
    app.add_option("--daemon", options.settings.daemon, "IP:PORT of the daemon of this VM")->required();
    app.add_option("--id", options.settings.id, "name of this target")->required();
    app.add_option("--service", options.settings.service, "service that it is a copy of")->required();
    app.add_option("--licence", options.settings.licence, "licence identifier of the paid copy")->required();
    app.add_option("--listen", options.listen, "IP:PORT to listen on; port 0 takes a free one")->capture_default_str();
    app.add_option("--slots", options.settings.slots, "calls at once; more are shed")->capture_default_str();
    app.add_option("--work-ms", options.workMs, "work time of a call")->capture_default_str();
    app.add_option("--cold-start-ms", options.coldStartMs, "time until ready")->capture_default_str();
    app.add_option("--request-limit", options.settings.requestLimit,
        "requests a second that it says in its answers it takes from all callers; POST /notice changes it");
    app.add_flag("--lie", options.isLying, "health and load endpoints say the opposite of the truth");
}

int serve(merlinpier::target_settings settings)
{
    merlinpier::termination_signal termination;
    auto process = merlinpier::target_process::tryCreate(std::move(settings));
    if (process.isError()) {
        std::cerr << process.failure().text() << std::endl;
        return exitCannotListen;
    }
    std::cout << "listening " << process.value()->address() << std::endl;
    termination.wait();
    process.value()->stopGracefully();
    return exitStopped;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    CLI::App app { "merlinpier-target: stand-in of a target.\n"
                   "Example: merlinpier-target --daemon 127.0.0.1:8080 --id slots-1 --service slots --licence L-1\n"
                   "Exit codes: 0 drained and stopped by SIGTERM or SIGINT, 2 bad usage, 3 cannot listen." };
    target_options options;
    addOptions(app, options);
    try {
        app.parse(argumentCount, arguments);
    } catch (CLI::ParseError const& failure) {
        return app.exit(failure) == 0 ? exitStopped : exitBadUsage;
    }
    auto listen = merlinpier::parseListenOption(options.listen);
    if (listen.isError()) {
        std::cerr << listen.failure().text() << std::endl;
        return exitBadUsage;
    }
    options.settings.listen = listen.releaseValue();
    options.settings.listen.maximumConnections = maximumConnections;
    options.settings.work = merlinpier::milliseconds(options.workMs);
    options.settings.coldStart = merlinpier::milliseconds(options.coldStartMs);
    if (options.isLying)
        options.settings.honesty = merlinpier::endpoint_honesty::Lying;
    merlinpier::startLogging("merlinpier-target", 0);
    return serve(std::move(options.settings));
}
