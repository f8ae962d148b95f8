// A daemon gets SIGTERM while requests that its clients sent wait for a slot of a worker on another machine.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int slots = 12;
constexpr int ordinary_ms = 640;
constexpr int long_ms = 3800;
constexpr int timeout_ms = 4000;
constexpr int deadline_ms = 8000;

struct client_request {
    std::string attempt;
    std::string path;
    double sent_at { 0 };
    double ended_at { 0 };
    int status { 0 };
    bool is_closed { false };
};

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
    std::vector<machine> const machines { { net + "1", "zone-a", "jobdesk", 260 }, { net + "2", "zone-b", "schedules", 260 },
        { net + "3", "zone-c", "bookings", 260 } };
    objects.write_configuration(configuration("00000001",
        { route("region-report", "/report/", "idempotent", "schedules", timeout_ms, 2000), route("job", "/job/", "idempotent", "jobdesk", 1500),
            route("visit", "/visit/", "non_idempotent", "bookings", 2000) },
        { "jobdesk", "schedules", "bookings" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines) {
        workers.push_back(std::make_unique<worker>(where, "i-" + where.service, slots, record));
        workers.back()->work = [](message const& request) {
            return request.word(1).find("long") == std::string::npos ? ordinary_ms : long_ms;
        };
    }
    if (!host.wait_until_ready(machines, 8000))
        return 2;
    pause_for(4000);
    auto const front = machines[0];
    std::mutex lock;
    std::vector<client_request> done;
    auto const send = [&](connection& to, std::string const& attempt, std::string const& path) {
        client_request made { attempt, path };
        made.sent_at = record.now();
        record.line("client sends %s %s", attempt.c_str(), path.c_str());
        message answer;
        if (!to.is_open() || !to.send(request("GET", path, attempt, deadline_ms)))
            made.is_closed = true;
        else
            made.is_closed = to.read(answer, deadline_ms) == connection::outcome::Closed;
        made.status = made.is_closed ? 0 : answer.status();
        made.ended_at = record.now();
        record.line("client of %s got %s", attempt.c_str(),
            made.is_closed ? "a closed connection" : answer.start_line.c_str());
        std::lock_guard const guard(lock);
        done.push_back(made);
    };
    // Kept connections, each of which has served a request before.
    constexpr int long_requests = slots;
    constexpr int ordinary_requests = 6;
    std::vector<connection> kept;
    for (int i = 0; i < long_requests + ordinary_requests; ++i) {
        kept.push_back(connection::open(front.outbound()));
        send(kept.back(), "warm" + std::to_string(i), "/report/warm");
    }
    double const stopped_at = record.now();
    if (has_trouble)
        host.signal(front, SIGTERM);
    std::vector<std::thread> clients;
    pause_for(1900);
    for (int i = 0; i < long_requests; ++i)
        clients.emplace_back([&, i] { send(kept[static_cast<std::size_t>(i)], "long" + std::to_string(i), "/report/long"); });
    pause_for(300);
    for (int i = 0; i < ordinary_requests; ++i)
        clients.emplace_back([&, i] {
            send(kept[static_cast<std::size_t>(long_requests + i)], "wait" + std::to_string(i), "/report/ordinary");
        });
    for (auto& client : clients)
        client.join();
    pause_for(300);
    std::map<std::string, double> started;
    for (auto const& run : workers[1]->runs())
        started.emplace(run.attempt, run.at);
    int lost = 0;
    for (auto const& made : done) {
        bool const is_short_of_timeout = made.ended_at - made.sent_at < timeout_ms / 1000.0;
        if (made.is_closed && made.sent_at > stopped_at && made.ended_at - made.sent_at > 0.2 && is_short_of_timeout
            && started.count(made.attempt) == 0) {
            ++lost;
            record.line("LOST: %s was read, never reached a worker, and its connection was closed %.3f s after it was sent",
                made.attempt.c_str(), made.ended_at - made.sent_at);
        }
    }
    record.line("%d requests lost", lost);
    host.end_all();
    std::_Exit(lost > 0 ? 1 : 0);
}
