#include "daemon.h"
#include "http_front.h"

#include <CLI/CLI.hpp>
#include <LibCore/log.h>
#include <LibNet/endpoint.h>
#include <csignal>
#include <iostream>
#include <pthread.h>

namespace merlinpier {

namespace {

constexpr int exitBadSettings = 1;
constexpr int exitUnavailable = 4;

constexpr char const* footer = R"(
Examples:
  merlinpier-daemon --settings daemon.json
  merlinpier-daemon --settings daemon.json --check-settings

Signals: SIGTERM and SIGINT drain the targets of this VM, wait for calls in flight, then stop.
Exit codes: 0 stopped as asked, 1 bad settings, 2 bad command line, 4 a listener's address is taken.)";

// Blocks the signals of a planned stop in every thread that is started from now on.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int fail(error const& failure, int code)
{
    std::cerr << failure.text() << "\n";
    return code;
}

int serve(daemon_settings settings)
{
    auto const signals = blockStopSignals();
    auto const http = parseEndpoint(settings.httpAddress);
    if (http.isError())
        return fail(http.failure(), exitBadSettings);
    daemon process(std::move(settings));
    auto const started = process.start();
    if (started.isError())
        return fail(started.failure(), exitUnavailable);
    http_front front(process);
    http_server_settings serverSettings;
    serverSettings.address = http.value().address;
    serverSettings.port = http.value().port;
    serverSettings.threads = process.settings().httpThreads;
    serverSettings.maximumBodyBytes = process.settings().maximumBodyBytes;
    auto server = http_server::tryCreate(serverSettings, front);
    if (server.isError())
        return fail(server.failure(), exitUnavailable);
    std::cout << "listening " << http.value().address << ":" << server.value()->port() << std::endl;
    logInfo("daemon_started",
        { { "vm", process.settings().vm }, { "zone", process.settings().zone }, { "instance", process.instance() } });
    int received = 0;
    sigwait(&signals, &received);
    logInfo("planned_stop", { { "signal", received } });
    process.drain();
    server.value()->stop();
    process.stop();
    return 0;
}

int run(int argumentCount, char** arguments)
{
    CLI::App app("merlinpier-daemon: the process of merlinpier on each VM");
    app.footer(footer);
    app.set_version_flag("--version", MERLINPIER_VERSION);
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "JSON file with the settings of this daemon")->required();
    app.add_flag("--check-settings", checkOnly, "check the settings, print what is wrong with them and end");
    try {
        app.parse(argumentCount, arguments);
    } catch (CLI::ParseError const& failure) {
        return app.exit(failure) == 0 ? 0 : 2;
    }
    auto reader = settings_reader::tryCreateFromFile(path);
    if (reader.isError())
        return fail(reader.failure(), exitBadSettings);
    auto settings = daemon_settings::tryRead(reader.releaseValue());
    if (settings.isError())
        return fail(settings.failure(), exitBadSettings);
    if (checkOnly) {
        std::cout << "settings are good\n";
        return 0;
    }
    startLogging("merlinpier-daemon", settings.value().logLevel);
    return serve(settings.releaseValue());
}

} // namespace

} // namespace merlinpier

int main(int argumentCount, char** arguments) { return merlinpier::run(argumentCount, arguments); }
