#include <CLI/CLI.hpp>
#include <LibCore/termination_signal.h>
#include <Tests/StandIns/ByteRelay/relay_control.h>
#include <Tests/StandIns/listen_option.h>
#include <csignal>
#include <iostream>

namespace {

constexpr int exitBadUsage = 2;
constexpr int exitCannotListen = 3;

int fail(merlinpier::error const& failure, int code)
{
    std::cerr << failure.text() << std::endl;
    return code;
}

int serve(std::string const& listen, std::string const& to, merlinpier::http_server_settings const& control)
{
    merlinpier::termination_signal termination;
    auto const from = merlinpier::parseEndpoint(listen);
    auto const target = merlinpier::parseEndpoint(to);
    if (from.isError() || target.isError())
        return fail(from.isError() ? from.failure() : target.failure(), exitBadUsage);
    auto relay = merlinpier::byte_relay::tryCreate(from.value(), target.value());
    if (relay.isError())
        return fail(relay.failure(), exitCannotListen);
    merlinpier::relay_control handler(*relay.value());
    auto server = merlinpier::http_server::tryCreate(control, handler);
    if (server.isError())
        return fail(server.failure(), exitCannotListen);
    std::cout << "listening " << from.value().address << ":" << relay.value()->port() << std::endl;
    termination.wait();
    server.value()->stop();
    return 0;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    CLI::App app {
        "merlinpier-byte-relay: relays TCP connections and lets them go silent on request.\n"
        "Example: merlinpier-byte-relay --listen 127.0.0.1:7100 --to 127.0.0.1:7000 --control 127.0.0.1:7200\n"
        "Control: POST /mode {\"mode\": \"silent\", \"connections\": \"existing\"}, GET /state\n"
        "Exit codes: 0 stopped by SIGTERM or SIGINT, 2 bad usage, 3 cannot listen."
    };
    app.set_version_flag("--version", MERLINPIER_VERSION);
    std::string listen;
    std::string to;
    std::string controlText = "127.0.0.1:0";
    app.add_option("--listen", listen, "IP:PORT to listen on")->required();
    app.add_option("--to", to, "IP:PORT to relay to")->required();
    app.add_option("--control", controlText, "IP:PORT of the HTTP control")->required();
    try {
        app.parse(argumentCount, arguments);
    } catch (CLI::ParseError const& failure) {
        return app.exit(failure) == 0 ? 0 : exitBadUsage;
    }
    auto const control = merlinpier::parseListenOption(controlText);
    if (control.isError())
        return fail(control.failure(), exitBadUsage);
    return serve(listen, to, control.value());
}
