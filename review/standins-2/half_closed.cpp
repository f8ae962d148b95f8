// Clients end their side of a kept connection behind their last request and wait for its answer.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int clients_count = 10;
constexpr int deadline_ms = 2500;

} // namespace

int main(int, char** argv)
{
    std::string const root = argv[1];
    std::string const folder = argv[2];
    recorder record(argv[3]);
    bool const has_trouble = std::atoi(argv[4]) != 0;
    std::signal(SIGPIPE, SIG_IGN);
    auto const net = network();
    store objects(net + "250:8309", record);
    std::vector<machine> const machines { { net + "1", "zone-a", "slots" }, { net + "2", "zone-b", "halls" },
        { net + "3", "zone-c", "halls" } };
    objects.write_configuration(configuration("00000001",
        { route("catalogue", "/catalogue/", "idempotent", "halls", 1200, 400) }, { "slots", "halls" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines) {
        workers.push_back(std::make_unique<worker>(where, "i-" + where.ip, 6, record));
        workers.back()->work = [](message const&) { return 150; };
    }
    if (!host.wait_until_ready(machines, 8000))
        return 2;
    pause_for(4000);
    std::mutex lock;
    std::set<std::string> cut;
    std::vector<std::thread> clients;
    for (int i = 0; i < clients_count; ++i)
        clients.emplace_back([&, i] {
            pause_for(40 * i);
            auto const attempt = "last" + std::to_string(i);
            auto to = connection::open(machines[0].outbound());
            message answer;
            to.send(request("GET", "/catalogue/1", "first" + std::to_string(i), deadline_ms));
            bool const is_kept = to.read(answer, deadline_ms) == connection::outcome::Whole && answer.status() == 200;
            record.line("client sends %s%s", attempt.c_str(), has_trouble ? " and ends its side of the connection" : "");
            to.send(request("GET", "/catalogue/2", attempt, deadline_ms));
            if (has_trouble) {
                // The request is with the worker by then.
                pause_for(30);
                ::shutdown(to.socket(), SHUT_WR);
            }
            auto const got = to.read(answer, deadline_ms);
            record.line("client of %s got %s", attempt.c_str(),
                got == connection::outcome::Whole ? answer.start_line.c_str() : "the end of the connection");
            std::lock_guard const guard(lock);
            if (is_kept && got == connection::outcome::Closed)
                cut.insert(attempt);
        });
    for (auto& client : clients)
        client.join();
    int lost = 0;
    for (auto& each : workers) {
        for (auto const& run : each->runs()) {
            if (cut.count(run.attempt) == 0)
                continue;
            ++lost;
            record.line("LOST: %s was passed on to a sound worker, and its kept connection was closed without an answer",
                run.attempt.c_str());
        }
    }
    bool const is_broken = lost > 3;
    record.line("%d requests lost; rule LOST: %s", lost, is_broken ? "broken" : "held");
    host.end_all();
    std::_Exit(is_broken ? 1 : 0);
}
