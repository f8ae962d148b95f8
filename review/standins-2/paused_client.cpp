// Clients on kept connections stop reading for some seconds while their answers arrive, well before their deadline.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int clients_count = 10;
constexpr int pause_ms = 4800;
constexpr int timeout_ms = 3000;
constexpr int deadline_ms = 6000;
constexpr std::size_t answer_size = 30000;
// Links have small windows.
constexpr int receive_buffer = 4096;

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
        { route("catalogue", "/catalogue/", "idempotent", "halls", timeout_ms, 1200) }, { "slots", "halls" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines) {
        workers.push_back(std::make_unique<worker>(where, "i-" + where.ip, 6, record));
        workers.back()->answer_bytes = [](message const&) { return answer_size; };
    }
    if (!host.wait_until_ready(machines, 8000))
        return 2;
    pause_for(4000);
    struct client_result {
        std::string attempt;
        double sent_at { 0 };
        double ended_at { 0 };
        bool is_kept { false };
        bool is_whole { false };
    };
    std::mutex lock;
    std::vector<client_result> results;
    std::vector<std::thread> clients;
    for (int i = 0; i < clients_count; ++i)
        clients.emplace_back([&, i] {
            client_result made { "page" + std::to_string(i) };
            auto to = connection::open(machines[0].outbound());
            setsockopt(to.socket(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
            message answer;
            pause_for(20 * i);
            to.send(request("GET", "/catalogue/1", "first" + std::to_string(i), deadline_ms));
            made.is_kept = to.read(answer, deadline_ms) == connection::outcome::Whole && answer.status() == 200;
            made.sent_at = record.now();
            to.send(request("GET", "/catalogue/2", made.attempt, deadline_ms));
            record.line("client sends %s and reads after %d ms", made.attempt.c_str(), has_trouble ? pause_ms : 0);
            if (has_trouble)
                pause_for(pause_ms);
            auto const left = deadline_ms - static_cast<int>(1000 * (record.now() - made.sent_at));
            auto const got = to.read(answer, left);
            made.is_whole = got == connection::outcome::Whole;
            made.ended_at = record.now();
            record.line("client of %s got %s after %.3f s", made.attempt.c_str(),
                made.is_whole                          ? answer.start_line.c_str()
                    : got == connection::outcome::Closed ? "a connection that ended before the answer was whole"
                                                         : "nothing in time",
                made.ended_at - made.sent_at);
            std::lock_guard const guard(lock);
            results.push_back(made);
        });
    for (auto& client : clients)
        client.join();
    std::set<std::string> ran;
    for (auto& each : workers) {
        for (auto const& run : each->runs())
            ran.insert(run.attempt);
    }
    int lost = 0;
    for (auto const& made : results) {
        bool const is_in_time = made.ended_at - made.sent_at < deadline_ms / 1000.0;
        if (!made.is_kept || made.is_whole || !is_in_time || ran.count(made.attempt) == 0)
            continue;
        ++lost;
        record.line("LOST: %s ran at a sound worker, and its kept connection ended without a whole answer",
            made.attempt.c_str());
    }
    bool const is_broken = lost > 3;
    record.line("%d requests lost; rule LOST: %s", lost, is_broken ? "broken" : "held");
    host.end_all();
    std::_Exit(is_broken ? 1 : 0);
}
