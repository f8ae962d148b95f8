// Clients that keep a connection each, and all fetch one long answer at a given moment.
// downloader --to IP:PORT --host NAME --path /PREFIX/ --clients N --bytes N --work MS --deadline MS --start-at EPOCH_MS
//   --prefix TEXT --record FILE
#include "common.h"

int main(int count, char** words)
{
    options const given(count, words);
    record out(given.text("record"));
    auto const clients = given.number("clients", 1);
    auto const startAt = given.number("start-at", 0);
    auto const deadline = given.number("deadline", 8000);
    std::vector<std::thread> threads;
    for (long long i = 0; i < clients; ++i)
        threads.emplace_back([&, i] {
            int const socket = connectTo(given.text("to"));
            if (socket < 0) {
                out.line("client no-connection " + std::to_string(nowMs()));
                return;
            }
            timeval const patience { static_cast<time_t>(deadline / 1000 + 1), 0 };
            setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
            reader from(socket);
            auto const fetch = [&](std::string const& id, std::string const& work, std::string const& bytes) {
                out.line("client " + id + " sent " + std::to_string(nowMs()));
                sendAll(socket,
                    "GET " + given.text("path") + "?work=" + work + "&bytes=" + bytes
                        + " HTTP/1.1\r\nHost: " + given.text("host") + "\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\n\r\n");
                message answer;
                bool const isWhole = from.next(answer);
                auto const time = std::to_string(nowMs());
                bool const isGood = isWhole
                    && (answer.status() != 200
                        || answer.body == bodyFor(id, std::strtoull(bytes.c_str(), nullptr, 10)));
                if (isWhole)
                    out.line("client " + id + " answered " + time + " " + std::to_string(answer.status())
                        + (isGood ? "" : " WRONG") + (answer.closes() ? " close" : ""));
                else
                    out.line("client " + id + " cut " + time + " after " + std::to_string(answer.body.size()) + " of "
                        + (answer.hasHeader ? answer.header("Content-Length") : std::string("?")) + " bytes");
                return isWhole && !answer.closes();
            };
            sleepMs(i * 10);
            auto const name = given.text("prefix") + std::to_string(i);
            bool const isKept = fetch(name + "-warm", given.text("warm-work", "5"), "200");
            sleepMs(startAt - nowMs());
            if (isKept)
                fetch(name + "-long", given.text("work", "50"), given.text("bytes", "500000"));
            close(socket);
        });
    for (auto& thread : threads)
        thread.join();
}
