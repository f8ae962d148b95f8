#include <CLI/CLI.hpp>
#include <LibCore/log.h>
#include <LibCore/termination_signal.h>
#include <Tests/StandIns/Platform/platform_handler.h>
#include <Tests/StandIns/listen_option.h>
#include <iostream>

namespace {

constexpr int exitStopped = 0;
constexpr int exitBadUsage = 2;
constexpr int exitCannotListen = 3;

int serve(merlinpier::http_server_settings const& listen, merlinpier::platform_limits const& limits)
{
    merlinpier::termination_signal termination;
    merlinpier::platform_handler handler(limits);
    auto server = merlinpier::http_server::tryCreate(listen, handler);
    if (server.isError()) {
        std::cerr << server.failure().text() << std::endl;
        return exitCannotListen;
    }
    std::cout << "listening " << listen.address << ":" << server.value()->port() << std::endl;
    termination.wait();
    server.value()->stop();
    return exitStopped;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    CLI::App app { "merlinpier-platform: stand-in of the platform's object API.\n"
                   "Example: merlinpier-platform --listen 127.0.0.1:9000 --reads-per-second 2000\n"
                   "Exit codes: 0 stopped by SIGTERM or SIGINT, 2 bad usage, 3 cannot listen." };
    app.set_version_flag("--version", MERLINPIER_VERSION);
    std::string listenText = "127.0.0.1:0";
    merlinpier::platform_limits limits;
    app.add_option("--listen", listenText, "IP:PORT to listen on; port 0 takes a free one")->capture_default_str();
    app.add_option("--reads-per-second", limits.readsPerSecond, "reads and watches allowed a second")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--writes-per-second", limits.writesPerSecond, "writes allowed a second")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    try {
        app.parse(argumentCount, arguments);
    } catch (CLI::ParseError const& failure) {
        return app.exit(failure) == 0 ? exitStopped : exitBadUsage;
    }
    auto listen = merlinpier::parseListenOption(listenText);
    if (listen.isError()) {
        std::cerr << listen.failure().text() << std::endl;
        return exitBadUsage;
    }
    listen.value().threads = 4;
    listen.value().maximumConnections = 4096;
    merlinpier::startLogging("merlinpier-platform", 0);
    return serve(listen.value(), limits);
}
