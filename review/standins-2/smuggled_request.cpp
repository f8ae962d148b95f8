// A client sends requests whose transfer coding is not "chunked" at its end, with the text of another request as body.
#include "stand_ins.h"

using namespace stand_ins;

namespace {

constexpr int deadlineMs = 1500;

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
    std::vector<machine> const machines { { net + "1", "zone-a", "bookings" }, { net + "2", "zone-b", "bookings" },
        { net + "3", "zone-c", "slots" } };
    objects.writeConfiguration(configuration("00000001",
        { route("slot-list", "/slots/", "idempotent", "slots", 1200, 200),
            route("reserve", "/reserve/", "non_idempotent", "bookings", 800, 250) },
        { "slots", "bookings" }));
    platform host(root, folder, objects.address(), record);
    for (auto const& where : machines)
        host.start(where, true);
    std::vector<std::unique_ptr<worker>> workers;
    for (auto const& where : machines)
        workers.push_back(std::make_unique<worker>(where, "i-" + where.ip, 6, record));
    if (!host.waitUntilReady(machines, 8000))
        return 2;
    pauseFor(4000);
    std::map<std::string, std::size_t> sent;
    std::vector<std::string> const codings { "chunked, identity", "identity", "gzip" };
    for (std::size_t i = 0; i < codings.size(); ++i) {
        auto const number = std::to_string(i + 1);
        auto const inner = request("POST", "/reserve/1", "inner" + number, deadlineMs);
        char size[16];
        std::snprintf(size, sizeof size, "%zx", inner.size());
        auto const body = hasTrouble ? inner : std::string(size) + "\r\n" + inner + "\r\n0\r\n\r\n";
        auto const coding = hasTrouble ? codings[i] : std::string("chunked");
        auto const attempt = "outer" + number;
        auto to = connection::open(machines[2].outbound());
        record.line(
            "client sends %s, Transfer-Encoding: %s, with %zu bytes of body that hold the text of a request inner%s",
            attempt.c_str(), coding.c_str(), inner.size(), number.c_str());
        sent[attempt] = inner.size();
        to.send("POST /reserve/1 HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: "
            + std::to_string(deadlineMs) + "\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + body);
        message answer;
        connection::outcome got {};
        while ((got = to.read(answer, 1000)) == connection::outcome::Whole)
            record.line("client of %s got %s for %s", attempt.c_str(), answer.startLine.c_str(),
                answer.header("Attempt-Id").value_or("no attempt").c_str());
    }
    int unasked = 0;
    for (auto& each : workers) {
        for (auto const& run : each->runs()) {
            auto const known = sent.find(run.attempt);
            if (known == sent.end()) {
                ++unasked;
                record.line("UNASKED: worker %s ran %s, which was smuggled inside another request",
                    run.instance.c_str(), run.attempt.c_str());
            } else if (known->second != run.bodyBytes) {
                ++unasked;
                record.line("UNASKED: worker %s ran %s with a body of %zu bytes instead of %zu", run.instance.c_str(),
                    run.attempt.c_str(), run.bodyBytes, known->second);
            }
        }
    }
    record.line("rule UNASKED: %s", unasked > 0 ? "broken" : "held");
    host.endAll();
    std::_Exit(unasked > 0 ? 1 : 0);
}
