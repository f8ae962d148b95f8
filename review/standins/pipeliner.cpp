// A client that keeps one connection and sends idempotent requests on it, each before the earlier ones are answered.
// pipeliner --to IP:PORT --host NAME --path /PREFIX/ --count N --interval-ms N --work MS [--first-work MS] [--bytes N]
//   [--abandon-ms N] --deadline MS --prefix TEXT --record FILE [--ready IP:PORT,IP:PORT]
// With --ready, the first address is this machine's daemon and all are those of its zone: as PROTOCOL.md says of the
// platform, they are asked once a second, and after two misses no new work is sent while half of the zone or more is
// in.
#include "common.h"

#include <deque>

namespace {

std::mutex mutex;
std::deque<std::string> outstanding;
std::map<std::string, long long> sentAt;
std::atomic<bool> isOver { false };
std::atomic<bool> mayClientsCome { true };

bool isReady(std::string const& address)
{
    int const socket = connectTo(address);
    if (socket < 0)
        return false;
    timeval const second { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof second);
    sendAll(socket, "GET /v1/readiness HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n");
    message answer;
    bool const isWhole = reader(socket).next(answer);
    close(socket);
    return isWhole && answer.status() == 200;
}

void askReadiness(std::vector<std::string> const& zone, record& out)
{
    std::vector<int> misses(zone.size(), 0);
    while (!isOver) {
        std::size_t in = 0;
        for (std::size_t i = 0; i < zone.size(); ++i) {
            misses[i] = isReady(zone[i]) ? 0 : misses[i] + 1;
            in += misses[i] < 2;
        }
        bool const may = misses[0] < 2 || 2 * in < zone.size();
        if (may != mayClientsCome)
            out.line(std::string("platform ") + (may ? "sends clients" : "sends no clients") + " "
                + std::to_string(nowMs()));
        mayClientsCome = may;
        sleepMs(1000);
    }
}

} // namespace

int main(int count, char** words)
{
    options const given(count, words);
    record out(given.text("record"));
    std::vector<std::string> zone;
    for (std::string rest = given.text("ready"); !rest.empty();) {
        auto const comma = rest.find(',');
        zone.push_back(rest.substr(0, comma));
        rest = comma == std::string::npos ? std::string() : rest.substr(comma + 1);
    }
    std::thread asking;
    if (!zone.empty())
        asking = std::thread([&] { askReadiness(zone, out); });

    int const socket = connectTo(given.text("to"));
    if (socket < 0) {
        std::fprintf(stderr, "no connection to %s\n", given.text("to").c_str());
        return 2;
    }
    auto const deadline = given.number("deadline", 1200);
    // A client abandons what a daemon has not read after this time.
    auto const patience = std::min(deadline, given.number("abandon-ms", deadline));
    std::atomic<bool> isClosed { false };
    std::thread receiving([&] {
        reader from(socket);
        message answer;
        while (from.next(answer)) {
            std::lock_guard lock(mutex);
            auto const id = outstanding.empty() ? std::string("-") : outstanding.front();
            if (!outstanding.empty())
                outstanding.pop_front();
            bool const isForeign = !answer.header("Attempt-Id").empty() && answer.header("Attempt-Id") != id;
            out.line("client " + id + " answered " + std::to_string(nowMs()) + " " + std::to_string(answer.status())
                + (isForeign ? " FOREIGN" : "") + (answer.closes() ? " close" : ""));
            if (answer.closes()) {
                // What was sent behind this answer counts as not read.
                for (auto const& unread : outstanding)
                    out.line("client " + unread + " unread " + std::to_string(nowMs()));
                outstanding.clear();
                break;
            }
        }
        isClosed = true;
        std::lock_guard lock(mutex);
        for (auto const& lost : outstanding)
            out.line("client " + lost + " cut " + std::to_string(nowMs()));
        outstanding.clear();
    });

    auto const usualWork = given.text("work", "50");
    for (long long i = 0; i < given.number("count", 1) && !isClosed; ++i) {
        if (mayClientsCome) {
            auto const id = given.text("prefix") + std::to_string(i);
            auto const work = i == 0 ? given.text("first-work", usualWork) : usualWork;
            std::lock_guard lock(mutex);
            if (isClosed)
                break;
            outstanding.push_back(id);
            sentAt[id] = nowMs();
            out.line("client " + id + " sent " + std::to_string(nowMs()));
            sendAll(socket,
                "GET " + given.text("path") + "?work=" + work + "&bytes=" + given.text("bytes", "200")
                    + " HTTP/1.1\r\nHost: " + given.text("host") + "\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\n\r\n");
        }
        sleepMs(given.number("interval-ms", 40));
    }
    while (!isClosed) {
        sleepMs(10);
        std::lock_guard lock(mutex);
        if (outstanding.empty())
            break;
        if (nowMs() - sentAt[outstanding.front()] < patience)
            continue;
        for (auto const& lost : outstanding)
            out.line("client " + lost + " expired " + std::to_string(nowMs()));
        outstanding.clear();
        break;
    }
    shutdown(socket, SHUT_RDWR);
    receiving.join();
    isOver = true;
    if (asking.joinable())
        asking.join();
}
