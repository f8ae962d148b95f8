// A daemon gets SIGTERM while requests that its clients sent wait for a slot of a worker on another machine.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int slots = 12;
constexpr int ordinaryMs = 640;
constexpr int longMs = 3800;
constexpr int timeoutMs = 4000;
constexpr int deadlineMs = 8000;

struct client_request {
    std::string attempt;
    std::string path;
    double sentAt { 0 };
    double endedAt { 0 };
    int status { 0 };
    bool isClosed { false };
};

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
    std::vector<machine> const machines { { net + "1", "zone-a", "jobdesk", 260 },
        { net + "2", "zone-b", "schedules", 260 }, { net + "3", "zone-c", "bookings", 260 } };
    objects.writeConfiguration(configuration("00000001",
        { route("region-report", "/report/", "idempotent", "schedules", timeoutMs, 2000),
            route("job", "/job/", "idempotent", "jobdesk", 1500),
            route("visit", "/visit/", "non_idempotent", "bookings", 2000) },
        { "jobdesk", "schedules", "bookings" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines) {
        workers.push_back(std::make_unique<worker>(where, "i-" + where.service, slots, record));
        workers.back()->work = [](message const& request) {
            return request.word(1).find("long") == std::string::npos ? ordinaryMs : longMs;
        };
    }
    if (!host.waitUntilReady(machines, 8000))
        return 2;
    pauseFor(4000);
    auto const& front = machines[0];
    std::mutex lock;
    std::vector<client_request> done;
    auto const send = [&](connection& to, std::string const& attempt, std::string const& path) {
        client_request made { attempt, path };
        made.sentAt = record.now();
        record.line("client sends %s %s", attempt.c_str(), path.c_str());
        message answer;
        if (!to.isOpen() || !to.send(request("GET", path, attempt, deadlineMs)))
            made.isClosed = true;
        else
            made.isClosed = to.read(answer, deadlineMs) == connection::outcome::Closed;
        made.status = made.isClosed ? 0 : answer.status();
        made.endedAt = record.now();
        record.line(
            "client of %s got %s", attempt.c_str(), made.isClosed ? "a closed connection" : answer.startLine.c_str());
        std::lock_guard const guard(lock);
        done.push_back(made);
    };
    // Kept connections, each of which has served a request before.
    constexpr int longRequests = slots;
    constexpr int ordinaryRequests = 6;
    std::vector<connection> kept;
    for (int i = 0; i < longRequests + ordinaryRequests; ++i) {
        kept.push_back(connection::open(front.outbound()));
        send(kept.back(), "warm" + std::to_string(i), "/report/warm");
    }
    double const stoppedAt = record.now();
    if (hasTrouble)
        host.signal(front, SIGTERM);
    std::vector<std::thread> clients;
    pauseFor(1900);
    for (int i = 0; i < longRequests; ++i)
        clients.emplace_back(
            [&, i] { send(kept[static_cast<std::size_t>(i)], "long" + std::to_string(i), "/report/long"); });
    pauseFor(300);
    for (int i = 0; i < ordinaryRequests; ++i)
        clients.emplace_back([&, i] {
            send(kept[static_cast<std::size_t>(longRequests + i)], "wait" + std::to_string(i), "/report/ordinary");
        });
    for (auto& client : clients)
        client.join();
    pauseFor(300);
    std::map<std::string, double> started;
    for (auto const& run : workers[1]->runs())
        started.emplace(run.attempt, run.at);
    int lost = 0;
    for (auto const& made : done) {
        bool const isShortOfTimeout = made.endedAt - made.sentAt < timeoutMs / 1000.0;
        if (made.isClosed && made.sentAt > stoppedAt && made.endedAt - made.sentAt > 0.2 && isShortOfTimeout
            && started.count(made.attempt) == 0) {
            ++lost;
            record.line(
                "LOST: %s was read, never reached a worker, and its connection was closed %.3f s after it was sent",
                made.attempt.c_str(), made.endedAt - made.sentAt);
        }
    }
    record.line("%d requests lost", lost);
    host.endAll();
    std::_Exit(lost > 0 ? 1 : 0);
}
