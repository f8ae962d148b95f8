#include <CLI/CLI.hpp>
#include <LibCore/log.h>
#include <LibCore/process_memory.h>
#include <LibLoop/loop_http_client.h>
#include <LibLoop/loop_http_server.h>
#include <LibNet/endpoint.h>
#include <Services/Daemon/connection_limits.h>
#include <Services/Daemon/daemon.h>
#include <Services/Daemon/discovery.h>
#include <Services/Daemon/http_front.h>
#include <Services/Daemon/planned_stop.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <optional>
#include <platform/client_front.h>
#include <platform/platform_rollouts.h>
#include <platform/platform_settings.h>
#include <platform/platform_store.h>
#include <platform/readiness_front.h>
#include <platform/sidecar_settings.h>
#include <platform/worker_dialect.h>
#include <platform/worker_front.h>
#include <sstream>
#include <utility>

namespace merlinpier {

namespace {

constexpr int exitBadSettings = 1;
constexpr int exitUnavailable = 4;
constexpr milliseconds logFlushPeriod { 100 };
// How often the settings file is looked at, since it may change without a signal.
constexpr milliseconds settingsPollPeriod { 5000 };
// A process on the own VM accepts or refuses a connection well within this time.
constexpr milliseconds targetCheckTimeout { 200 };
// How often a process that only waits for the store to take a departure looks whether the target has ended.
constexpr milliseconds targetCheckPeriod { 500 };
constexpr char const* settingsVariable = "MERLINPIER_CONFIG";
constexpr char const* defaultSettingsPath = "/etc/merlinpier/settings.json";

constexpr char const* footer = R"(
The settings file is the platform's; its path stands in MERLINPIER_CONFIG.

Signals: SIGTERM and SIGINT stop the daemon without cutting requests; SIGHUP reads the settings again.
Exit codes: 0 stopped as asked, 1 bad settings, 2 bad command line, 4 a listener's address is taken.)";

int fail(error const& failure, int code)
{
    logWarning("start_failed", { { "reason", failure.text() } });
    flushLog();
    std::cerr << failure.text() << "\n";
    return code;
}

std::string settingsPath()
{
    char const* const given = std::getenv(settingsVariable);
    return given ? given : defaultSettingsPath;
}

std::string readFile(std::string const& path)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

result<std::unique_ptr<loop_http_server>> listenOn(event_loop& loop, std::string const& address, http_handler& handler,
    std::size_t maximumConnections, std::size_t maximumBodyBytesHeld = std::numeric_limits<std::size_t>::max())
{
    http_limits limits;
    limits.maximumConnections = maximumConnections;
    limits.maximumHeldBodyBytes = maximumBodyBytesHeld;
    return loop_http_server::tryCreate(loop, TRY(parseEndpoint(address)), limits, handler);
}

// The platform and the target call the other listeners, over few connections.
constexpr std::size_t mostOtherConnections = 64;

// One sidecar: a daemon with the listeners that the platform calls.
class sidecar {
public:
    sidecar(event_loop& loop, platform::platform_settings settings, std::uint16_t metricsPort)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_metricsPort(metricsPort)
        , m_http(loop, { .localAddress = m_settings.ipNumber })
        , m_store(m_http, m_settings.storeAddress)
        , m_rollouts(m_http, m_settings.storeAddress)
        , m_daemon(
              platform::daemonSettingsFrom(m_settings, metricsPort), { loop, m_http, m_store, m_dialect, &m_rollouts })
        , m_discovery(
              m_daemon, { .vm = m_daemon.settings().vm, .address = m_daemon.settings().advertisedAddress }, m_store)
        , m_clients(m_daemon, m_settings, m_daemon.instance())
        , m_workers(m_daemon, m_discovery, m_settings)
        , m_readiness(m_daemon)
        , m_operators(m_daemon, m_discovery)
    {
    }

    result<empty> start()
    {
        auto const mostClients = maximumCallerConnections(m_settings.descriptorLimit);
        auto const mostBodyBytes = maximumHeldBodyBytes(m_settings.memoryMegabytes);
        m_clientServer = TRY(listenOn(m_loop, m_settings.clientAddress, m_clients, mostClients, mostBodyBytes));
        m_clientServer->setShortageHandler(
            [this](connection_shortage shortage) { m_daemon.figures().add(callerConnectionsMetric(shortage)); });
        m_daemon.setRoutesHandler([this, mostClients, mostBodyBytes](routing_snapshot const& snapshot) {
            m_clients.didRenewRoutes(snapshot);
            auto const& limits = snapshot.limits();
            m_clientServer->setLimits({ limits.maximumHeaderBytes, limits.maximumBodyBytes, limits.headerTimeout,
                limits.idleTimeout, mostClients, mostBodyBytes });
        });
        TRY(m_daemon.start());
        m_workerServer = TRY(listenOn(m_loop, m_settings.targetReportAddress, m_workers, mostOtherConnections));
        m_readinessServer = TRY(listenOn(m_loop, m_settings.readinessAddress, m_readiness, mostOtherConnections));
        auto const metricsAddress = m_settings.ipNumber + ":" + std::to_string(m_metricsPort);
        m_operatorServer = TRY(listenOn(m_loop, metricsAddress, m_operators, mostOtherConnections));
        m_daemon.targets().awaitEarlierDepartures();
        m_discovery.start();
        return empty {};
    }

    void stop(int signal)
    {
        logInfo("planned_stop", { { "signal", signal } });
        if (m_daemon.isDraining())
            return;
        removeEntry();
        m_stop.emplace(m_daemon, m_discovery, *m_clientServer, late_connections::Refused, [this] { m_loop.exit(); });
    }

    // The entry in the store stays if it keeps the departure of a target that still runs: it binds the next process.
    void removeEntry()
    {
        if (!m_discovery.hasRecentDepartures()) {
            m_discovery.stop();
            return;
        }
        m_http.checkListener(m_settings.targetAddress, targetCheckTimeout, [this](listener_state state) {
            if (state == listener_state::Refusing)
                m_discovery.stop();
            else if (m_discovery.hasUnstoredDepartures())
                m_targetTimer = m_loop.subscribeOnce(targetCheckPeriod, [this] { removeEntry(); });
        });
    }

    void reload()
    {
        auto const path = settingsPath();
        auto const content = readFile(path);
        if (content == m_lastContent)
            return;
        m_lastContent = content;
        auto const read = platform::platform_settings::tryRead(content);
        if (read.isError()) {
            logWarning("settings_refused", { { "path", path }, { "reason", read.failure().text() } });
            return;
        }
        auto next = read.value();
        next.commandLine = m_settings.commandLine;
        logInfo("settings_reloaded", { { "path", path }, { "changed", next == m_settings ? "no" : "yes" } });
        m_settings = std::move(next);
    }

    daemon& process() { return m_daemon; }
    void setContent(std::string content) { m_lastContent = std::move(content); }

private:
    event_loop& m_loop;
    platform::platform_settings m_settings;
    std::uint16_t m_metricsPort;
    std::string m_lastContent;
    platform::worker_dialect m_dialect;
    loop_http_client m_http;
    platform::platform_store m_store;
    platform::platform_rollouts m_rollouts;
    daemon m_daemon;
    discovery m_discovery;
    platform::client_front m_clients;
    platform::worker_front m_workers;
    platform::readiness_front m_readiness;
    http_front m_operators;
    std::unique_ptr<loop_http_server> m_clientServer;
    std::unique_ptr<loop_http_server> m_workerServer;
    std::unique_ptr<loop_http_server> m_readinessServer;
    std::unique_ptr<loop_http_server> m_operatorServer;
    std::optional<planned_stop> m_stop;
    timer_subscription m_targetTimer;
};

int serve(std::string content, platform::platform_settings settings, std::uint16_t metricsPort)
{
    auto created = event_loop::tryCreate();
    if (created.isError())
        return fail(created.failure(), exitUnavailable);
    auto const loop = created.releaseValue();
    auto owned = std::make_unique<sidecar>(*loop, std::move(settings), metricsPort);
    auto& process = *owned;
    process.setContent(std::move(content));
    // Before anybody can connect: a signal that ends the process as it stands would cut them off.
    for (int const signal : { SIGTERM, SIGINT })
        loop->setSignalHandler(signal, [&process, signal] { process.stop(signal); });
    loop->setSignalHandler(SIGHUP, [&process] { process.reload(); });
    if (auto const started = process.start(); started.isError())
        return fail(started.failure(), exitUnavailable);
    logInfo("daemon_started",
        { { "vm", process.process().settings().vm }, { "zone", process.process().settings().zone },
            { "instance", process.process().instance() } });
    auto const settingsTimer = loop->subscribe(settingsPollPeriod, [&process] { process.reload(); });
    auto const logTimer = loop->subscribe(logFlushPeriod, [] { flushLog(); });
    loop->run();
    auto const stoppedAt = currentTime();
    logInfo("daemon_stopped", {});
    flushLog();
    owned.reset();
    logInfo("process_ended", { { "teardown_ms", toMilliseconds(currentTime() - stoppedAt) } });
    flushLog();
    return 0;
}

int run(int argumentCount, char** arguments)
{
    CLI::App app("merlinpier-sidecar: merlinpier's process beside each target on the platform");
    app.footer(footer);
    app.set_version_flag("--version", MERLINPIER_VERSION);
    std::uint16_t metricsPort = 9464;
    bool checkOnly = false;
    platform::command_line_settings given;
    app.add_option("--metrics-port", metricsPort, "port for /metrics, /state and the operators' requests")
        ->check(CLI::Range(1, 65535));
    app.add_option(
           "--advertise", given.advertisedAddress, "address by which other daemons reach this one, if not its own")
        ->check([](std::string const& text) {
            auto const parsed = parseEndpoint(text);
            return parsed.isError() ? parsed.failure().text() : std::string();
        });
    app.add_option(
           "--lateness-cost", given.latenessCost, "loss from a late answer, as a fraction of the value of one in time")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--cross-zone-cost", given.crossZoneCostPerKilobyte,
           "cost of a kilobyte transferred between availability zones, as the same fraction")
        ->check(CLI::Range(0.0, 10.0))
        ->capture_default_str();
    std::map<std::string, order_choice> const orders { { "auto", order_choice::Automatic },
        { "value", order_choice::Value }, { "deadline", order_choice::Deadline } };
    app.add_option("--service-order", given.serviceOrder,
           "order of waiting calls: by value, by deadline, or (auto) by value where calls name tenants or the target "
           "announces its pace")
        ->transform(CLI::CheckedTransformer(orders).description("auto|value|deadline"))
        ->default_str("auto");
    app.add_option(
           "--hedging", given.hedging, "second runs of slow idempotent calls; auto: where targets announce their pace")
        ->transform(CLI::CheckedTransformer(std::map<std::string, hedging_mode> {
            { "auto", hedging_mode::Auto }, { "off", hedging_mode::Off }, { "on", hedging_mode::On } }))
        ->option_text("auto|off|on [auto]");
    app.add_flag("--check-settings", checkOnly, "check the settings, print what is wrong with them and end");
    try {
        app.parse(argumentCount, arguments);
    } catch (CLI::ParseError const& failure) {
        return app.exit(failure) == 0 ? 0 : 2;
    }
    returnFreedMemory();
    std::signal(SIGPIPE, SIG_IGN);
    if (!checkOnly)
        startBoundedLogging("merlinpier-sidecar", 0);
    auto content = readFile(settingsPath());
    auto settings = platform::platform_settings::tryRead(content);
    if (settings.isError())
        return fail(settings.failure(), exitBadSettings);
    if (checkOnly) {
        std::cout << "settings are good\n";
        return 0;
    }
    auto read = settings.releaseValue();
    read.commandLine = std::move(given);
    return serve(std::move(content), std::move(read), metricsPort);
}

} // namespace

} // namespace merlinpier

int main(int argumentCount, char** arguments) { return merlinpier::run(argumentCount, arguments); }
