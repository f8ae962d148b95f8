// A worker leaves while the store is down, and all daemons are killed right after the acknowledgement. A check-in that
// the worker sent before it left arrives late.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int storeDownMs = 4500;
constexpr int leaveAfterMs = 1500;
constexpr int restartMs = 1000;
constexpr int lateByMs = 3500;
constexpr int drainMs = 2000;
constexpr int stableWindowMs = 3000;
constexpr int servesOnMs = 13000;
constexpr int deadlineMs = 1200;

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
    std::vector<machine> const machines { { net + "1", "zone-a", "slots" }, { net + "2", "zone-b", "slots" },
        { net + "3", "zone-c", "halls" }, { net + "4", "zone-c", "halls" } };
    objects.writeConfiguration(configuration(
        "00000001", { route("catalogue", "/catalogue/", "idempotent", "halls", 1200, 400) }, { "slots", "halls" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines) {
        workers.push_back(std::make_unique<worker>(where, "i-" + where.ip, 6, record));
        workers.back()->work = [](message const&) {
            return 40;
        };
    }
    if (!host.waitUntilReady(machines, 8000))
        return 2;
    pauseFor(5000);
    // Clients of the machines of other zones, one request each at a time.
    std::atomic<bool> isOver { false };
    std::mutex lock;
    std::map<std::string, double> sentAt;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 2; ++i) {
        for (int k = 0; k < 6; ++k)
            clients.emplace_back([&, i, k] {
                for (int n = 1; !isOver; ++n) {
                    auto const attempt = "page" + std::to_string(i) + "-" + std::to_string(k) + "-" + std::to_string(n);
                    {
                        std::lock_guard const guard(lock);
                        sentAt[attempt] = record.now();
                    }
                    auto to = connection::open(machines[i].outbound(), 500);
                    message answer;
                    if (to.isOpen() && to.send(request("GET", "/catalogue/1", attempt, deadlineMs)))
                        to.read(answer, deadlineMs);
                    pauseFor(20);
                }
            });
    }
    auto& leaving = *workers[2];
    std::set<std::string> every;
    for (auto const& where : machines)
        every.insert(where.ip);
    pauseFor(1000);
    double const downAt = record.now();
    if (hasTrouble) {
        record.line("the store is down: it answers the daemons' calls with 503");
        objects.turnAway(every);
    }
    pauseFor(leaveAfterMs);
    leaving.stopReporting();
    auto const lateReport = leaving.nextReport();
    double const reportedAt = record.now();
    record.line("worker %s sends a check-in, which will arrive %.1f s late", leaving.id().c_str(), lateByMs / 1000.0);
    pauseFor(100);
    bool const isAcknowledged = leaving.callControl("Deregister", leaving.nextReport());
    double const acknowledgedAt = record.now();
    record.line("worker %s deregisters: %s; it goes on serving", leaving.id().c_str(),
        isAcknowledged ? "acknowledged" : "not acknowledged");
    if (!isAcknowledged)
        return 2;
    double startedAt = acknowledgedAt;
    if (hasTrouble) {
        for (auto const& where : machines)
            host.signal(where, SIGKILL);
        for (auto const& where : machines)
            host.waitForEnd(where, 1000);
        pauseFor(restartMs);
        for (auto const& where : machines)
            host.start(where, false);
        startedAt = record.now();
    }
    double const backAt = downAt + storeDownMs / 1000.0;
    double const arrivesAt = reportedAt + lateByMs / 1000.0;
    std::thread late([&] {
        while (record.now() < arrivesAt)
            pauseFor(5);
        bool const isTaken = leaving.callControl("Heartbeat", lateReport);
        record.line("the late check-in arrives: %s", isTaken ? "acknowledged" : "not acknowledged");
    });
    while (record.now() < backAt)
        pauseFor(5);
    if (hasTrouble) {
        objects.turnAway({});
        record.line("the store is back");
    }
    while (record.now() < acknowledgedAt + servesOnMs / 1000.0)
        pauseFor(10);
    isOver = true;
    late.join();
    for (auto& client : clients)
        client.join();
    double const inTouchFrom = (hasTrouble ? std::max(startedAt, backAt) : acknowledgedAt) + stableWindowMs / 1000.0;
    double const boundFrom = std::max(inTouchFrom, acknowledgedAt + drainMs / 1000.0);
    int broken = 0;
    int total = 0;
    for (auto const& run : leaving.runs()) {
        ++total;
        if (sentAt[run.attempt] < boundFrom || run.at < acknowledgedAt + drainMs / 1000.0)
            continue;
        if (++broken <= 5)
            record.line("DRAIN: %s, sent %.3f s after the acknowledgement by a machine in touch, reached worker %s",
                run.attempt.c_str(), sentAt[run.attempt] - acknowledgedAt, leaving.id().c_str());
    }
    record.line(
        "%d requests reached the worker in time in touch, later than drain_ms after the acknowledgement (%d in all)",
        broken, total);
    record.line("rule DRAIN: %s", broken > 0 ? "broken" : "held");
    host.endAll();
    std::_Exit(broken > 0 ? 1 : 0);
}
