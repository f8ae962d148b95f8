// Clients that send a request each --interval-ms, each on a new connection, for --seconds.
// caller --to IP:PORT --host NAME --path /PREFIX/ --interval-ms N --seconds N --work MS --deadline MS --prefix TEXT
// --record FILE
#include "common.h"

int main(int count, char** words)
{
    options const given(count, words);
    record out(given.text("record"));
    auto const end = nowMs() + 1000 * given.number("seconds", 5);
    auto const deadline = given.number("deadline", 1200);
    std::atomic<int> underWay { 0 };
    for (long long i = 0; nowMs() < end; ++i) {
        if (underWay < 200) {
            ++underWay;
            std::thread([&, id = given.text("prefix") + std::to_string(i)] {
                out.line("client " + id + " sent " + std::to_string(nowMs()));
                int const socket = connectTo(given.text("to"));
                message answer;
                bool isWhole = false;
                if (socket >= 0) {
                    timeval const patience { static_cast<time_t>(deadline / 1000 + 1), 0 };
                    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
                    sendAll(socket,
                        "GET " + given.text("path") + "?work=" + given.text("work", "50")
                            + " HTTP/1.1\r\nHost: " + given.text("host") + "\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\n\r\n");
                    isWhole = reader(socket).next(answer);
                    close(socket);
                }
                out.line("client " + id + (isWhole ? " answered " : " failed ") + std::to_string(nowMs())
                    + (isWhole ? " " + std::to_string(answer.status()) : ""));
                --underWay;
            }).detach();
        }
        sleepMs(given.number("interval-ms", 20));
    }
    while (underWay > 0)
        sleepMs(10);
}
