#include "connection_limits.h"
#include "daemon.h"
#include "discovery.h"
#include "http_front.h"
#include "own_target_dialect.h"
#include "planned_stop.h"

#include <CLI/CLI.hpp>
#include <LibCore/log.h>
#include <LibCore/process_memory.h>
#include <LibLoop/loop_http_client.h>
#include <LibLoop/loop_http_server.h>
#include <LibNet/endpoint.h>
#include <LibPlatform/http_object_store.h>
#include <csignal>
#include <functional>
#include <iostream>
#include <optional>

namespace merlinpier {

namespace {

constexpr int exitBadSettings = 1;
constexpr int exitUnavailable = 4;
constexpr milliseconds logFlushPeriod { 50 };

constexpr char const* footer = R"(
Examples:
  merlinpier-daemon --settings daemon.json
  merlinpier-daemon --settings daemon.json --check-settings

Signals: SIGTERM and SIGINT drain the targets of this VM, wait for calls in flight, then stop.
Exit codes: 0 stopped as asked, 1 bad settings, 2 bad command line, 4 a listener's address is taken.)";

int fail(error const& failure, int code)
{
    std::cerr << failure.text() << "\n";
    return code;
}

int serve(daemon_settings settings)
{
    auto const address = parseEndpoint(settings.httpAddress);
    if (address.isError())
        return fail(address.failure(), exitBadSettings);
    auto created = event_loop::tryCreate();
    if (created.isError())
        return fail(created.failure(), exitUnavailable);
    auto const loop = created.releaseValue();
    // Before anybody can connect: a signal that ends the process as it stands would cut them off.
    std::function<void(int)> stop;
    for (int const signal : { SIGTERM, SIGINT })
        loop->setSignalHandler(signal, [&stop, signal] { stop(signal); });
    loop_http_client http(*loop, { .localAddress = address.value().address });
    http_object_store store(http, settings.platformAddress);
    own_target_dialect const dialect;
    daemon process(std::move(settings), { *loop, http, store, dialect });
    auto const started = process.start();
    if (started.isError())
        return fail(started.failure(), exitUnavailable);
    // Seeds are configured, so the store only keeps which targets were ordered to drain.
    discovery departures(process,
        { .vm = process.settings().vm, .address = process.settings().advertisedAddress, .findsOthers = false }, store);
    process.targets().awaitEarlierDepartures();
    departures.start();
    http_front front(process, departures);
    http_limits limits;
    limits.maximumBodyBytes = process.settings().maximumBodyBytes;
    limits.maximumConnections = maximumCallerConnections();
    auto server = loop_http_server::tryCreate(*loop, address.value(), limits, front);
    if (server.isError())
        return fail(server.failure(), exitUnavailable);
    std::cout << "listening " << address.value().address << ":" << server.value()->port() << std::endl;
    server.value()->setShortageHandler(
        [&process](connection_shortage shortage) { process.figures().add(callerConnectionsMetric(shortage)); });
    logInfo("daemon_started",
        { { "vm", process.settings().vm }, { "zone", process.settings().zone }, { "instance", process.instance() } });
    std::optional<planned_stop> underWay;
    // Callers get a refusal that names the stop, so connections are accepted until the end.
    stop = [&](int signal) {
        logInfo("planned_stop", { { "signal", signal } });
        if (underWay)
            return;
        if (!departures.hasRecentDepartures())
            departures.stop();
        underWay.emplace(process, departures, *server.value(), late_connections::Accepted, [&] { loop->exit(); });
    };
    auto const logTimer = loop->subscribe(logFlushPeriod, [] { flushLog(); });
    loop->run();
    server.value()->stop();
    process.stop();
    flushLog();
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
    returnFreedMemory();
    startBoundedLogging("merlinpier-daemon", settings.value().logLevel);
    return serve(settings.releaseValue());
}

} // namespace

} // namespace merlinpier

int main(int argumentCount, char** arguments) { return merlinpier::run(argumentCount, arguments); }
