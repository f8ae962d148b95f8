// A worker leaves while the store is down, and all daemons are killed right after the acknowledgement. A check-in that
// the worker sent before it left arrives late.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int store_down_ms = 4500;
constexpr int leave_after_ms = 1500;
constexpr int restart_ms = 1000;
constexpr int late_by_ms = 3500;
constexpr int drain_ms = 2000;
constexpr int stable_window_ms = 3000;
constexpr int serves_on_ms = 13000;
constexpr int deadline_ms = 1200;

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
    std::vector<machine> const machines { { net + "1", "zone-a", "slots" }, { net + "2", "zone-b", "slots" },
        { net + "3", "zone-c", "halls" }, { net + "4", "zone-c", "halls" } };
    objects.write_configuration(configuration(
        "00000001", { route("catalogue", "/catalogue/", "idempotent", "halls", 1200, 400) }, { "slots", "halls" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines) {
        workers.push_back(std::make_unique<worker>(where, "i-" + where.ip, 6, record));
        workers.back()->work = [](message const&) { return 40; };
    }
    if (!host.wait_until_ready(machines, 8000))
        return 2;
    pause_for(5000);
    // Clients of the machines of other zones, one request each at a time.
    std::atomic<bool> is_over { false };
    std::mutex lock;
    std::map<std::string, double> sent_at;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 2; ++i) {
        for (int k = 0; k < 6; ++k)
            clients.emplace_back([&, i, k] {
                for (int n = 1; !is_over; ++n) {
                    auto const attempt = "page" + std::to_string(i) + "-" + std::to_string(k) + "-" + std::to_string(n);
                    {
                        std::lock_guard const guard(lock);
                        sent_at[attempt] = record.now();
                    }
                    auto to = connection::open(machines[i].outbound(), 500);
                    message answer;
                    if (to.is_open() && to.send(request("GET", "/catalogue/1", attempt, deadline_ms)))
                        to.read(answer, deadline_ms);
                    pause_for(20);
                }
            });
    }
    auto& leaving = *workers[2];
    std::set<std::string> every;
    for (auto const& where : machines)
        every.insert(where.ip);
    pause_for(1000);
    double const down_at = record.now();
    if (has_trouble) {
        record.line("the store is down: it answers the daemons' calls with 503");
        objects.turn_away(every);
    }
    pause_for(leave_after_ms);
    leaving.stop_reporting();
    auto const late_report = leaving.next_report();
    double const reported_at = record.now();
    record.line("worker %s sends a check-in, which will arrive %.1f s late", leaving.id().c_str(), late_by_ms / 1000.0);
    pause_for(100);
    bool const is_acknowledged = leaving.call_control("Deregister", leaving.next_report());
    double const acknowledged_at = record.now();
    record.line("worker %s deregisters: %s; it goes on serving", leaving.id().c_str(),
        is_acknowledged ? "acknowledged" : "not acknowledged");
    if (!is_acknowledged)
        return 2;
    double started_at = acknowledged_at;
    if (has_trouble) {
        for (auto const& where : machines)
            host.signal(where, SIGKILL);
        for (auto const& where : machines)
            host.wait_for_end(where, 1000);
        pause_for(restart_ms);
        for (auto const& where : machines)
            host.start(where, false);
        started_at = record.now();
    }
    double const back_at = down_at + store_down_ms / 1000.0;
    double const arrives_at = reported_at + late_by_ms / 1000.0;
    std::thread late([&] {
        while (record.now() < arrives_at)
            pause_for(5);
        bool const is_taken = leaving.call_control("Heartbeat", late_report);
        record.line("the late check-in arrives: %s", is_taken ? "acknowledged" : "not acknowledged");
    });
    while (record.now() < back_at)
        pause_for(5);
    if (has_trouble) {
        objects.turn_away({});
        record.line("the store is back");
    }
    while (record.now() < acknowledged_at + serves_on_ms / 1000.0)
        pause_for(10);
    is_over = true;
    late.join();
    for (auto& client : clients)
        client.join();
    double const in_touch_from = (has_trouble ? std::max(started_at, back_at) : acknowledged_at) + stable_window_ms / 1000.0;
    double const bound_from = std::max(in_touch_from, acknowledged_at + drain_ms / 1000.0);
    int broken = 0;
    int total = 0;
    for (auto const& run : leaving.runs()) {
        ++total;
        if (sent_at[run.attempt] < bound_from || run.at < acknowledged_at + drain_ms / 1000.0)
            continue;
        if (++broken <= 5)
            record.line("DRAIN: %s, sent %.3f s after the acknowledgement by a machine in touch, reached worker %s",
                run.attempt.c_str(), sent_at[run.attempt] - acknowledged_at, leaving.id().c_str());
    }
    record.line("%d requests reached the worker in time in touch, later than drain_ms after the acknowledgement (%d in all)",
        broken, total);
    record.line("rule DRAIN: %s", broken > 0 ? "broken" : "held");
    host.end_all();
    std::_Exit(broken > 0 ? 1 : 0);
}
