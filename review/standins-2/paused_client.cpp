// Clients on kept connections stop reading for some seconds while their answers arrive, well before their deadline.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int clientsCount = 10;
constexpr int pauseMs = 4800;
constexpr int timeoutMs = 3000;
constexpr int deadlineMs = 6000;
constexpr std::size_t answerSize = 30000;
// Links have small windows.
constexpr int receiveBuffer = 4096;

} // namespace

int main(int, char** argv)
{
    std::string const root = argv[1];
    std::string const folder = argv[2];
    recorder record(argv[3]);
    bool const hasTrouble = std::atoi(argv[4]) != 0;
    std::signal(SIGPIPE, SIG_IGN);
    auto const net = network();
    store objects(net + "250:8309", record);
    std::vector<machine> const machines { { net + "1", "zone-a", "slots" }, { net + "2", "zone-b", "halls" },
        { net + "3", "zone-c", "halls" } };
    objects.writeConfiguration(configuration("00000001",
        { route("catalogue", "/catalogue/", "idempotent", "halls", timeoutMs, 1200) }, { "slots", "halls" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines) {
        workers.push_back(std::make_unique<worker>(where, "i-" + where.ip, 6, record));
        workers.back()->answerBytes = [](message const&) {
            return answerSize;
        };
    }
    if (!host.waitUntilReady(machines, 8000))
        return 2;
    pauseFor(4000);
    struct client_result {
        std::string attempt;
        double sentAt { 0 };
        double endedAt { 0 };
        bool isKept { false };
        bool isWhole { false };
    };
    std::mutex lock;
    std::vector<client_result> results;
    std::vector<std::thread> clients;
    for (int i = 0; i < clientsCount; ++i)
        clients.emplace_back([&, i] {
            client_result made { "page" + std::to_string(i) };
            auto to = connection::open(machines[0].outbound());
            setsockopt(to.socket(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
            message answer;
            pauseFor(20 * i);
            to.send(request("GET", "/catalogue/1", "first" + std::to_string(i), deadlineMs));
            made.isKept = to.read(answer, deadlineMs) == connection::outcome::Whole && answer.status() == 200;
            made.sentAt = record.now();
            to.send(request("GET", "/catalogue/2", made.attempt, deadlineMs));
            record.line("client sends %s and reads after %d ms", made.attempt.c_str(), hasTrouble ? pauseMs : 0);
            if (hasTrouble)
                pauseFor(pauseMs);
            auto const left = deadlineMs - static_cast<int>(1000 * (record.now() - made.sentAt));
            auto const got = to.read(answer, left);
            made.isWhole = got == connection::outcome::Whole;
            made.endedAt = record.now();
            record.line("client of %s got %s after %.3f s", made.attempt.c_str(),
                made.isWhole                             ? answer.startLine.c_str()
                    : got == connection::outcome::Closed ? "a connection that ended before the answer was whole"
                                                         : "nothing in time",
                made.endedAt - made.sentAt);
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
        bool const isInTime = made.endedAt - made.sentAt < deadlineMs / 1000.0;
        if (!made.isKept || made.isWhole || !isInTime || ran.count(made.attempt) == 0)
            continue;
        ++lost;
        record.line("LOST: %s ran at a sound worker, and its kept connection ended without a whole answer",
            made.attempt.c_str());
    }
    bool const isBroken = lost > 3;
    record.line("%d requests lost; rule LOST: %s", lost, isBroken ? "broken" : "held");
    host.endAll();
    std::_Exit(isBroken ? 1 : 0);
}
