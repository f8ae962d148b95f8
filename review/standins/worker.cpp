// A worker, as PROTOCOL.md describes it. The query of a request says how long the work takes and how long the answer
// is: work=MS and bytes=N. It works on "slots" requests at a time and queues four times as many. worker --listen
// IP:PORT --id ID --service NAME --zone ZONE --control IP:PORT --slots N --record FILE [--late-ms N] On SIGUSR1 it
// leaves as the workers do that never say "draining": it sends Deregister, no check-in after that, and goes on serving.
// With --late-ms, its last check-in before that is under way for so long and arrives late.
#include "common.h"

#include <condition_variable>

namespace {

std::mutex mutex;
std::condition_variable freed;
std::atomic<bool> mustLeave { false };
int running = 0;
int waiting = 0;

bool hasClosed(int socket)
{
    pollfd watched { socket, POLLRDHUP, 0 };
    return poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

} // namespace

int main(int count, char** words)
{
    options const given(count, words);
    auto const id = given.text("id");
    auto const address = given.text("listen");
    int const slots = static_cast<int>(given.number("slots", 6));
    record record(given.text("record"));
    auto const born = nowMs();
    int const listening = listenOn(address);

    signal(SIGUSR1, [](int) { mustLeave = true; });
    auto const call = [&](std::string const& path, std::string const& body) {
        int const socket = connectTo(given.text("control"));
        if (socket < 0)
            return 0;
        timeval const second { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &second, sizeof second);
        sendAll(socket,
            "POST " + path + " HTTP/1.1\r\nHost: " + given.text("control")
                + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
        message answer;
        bool const isWhole = reader(socket).next(answer);
        close(socket);
        return isWhole ? answer.status() : 0;
    };
    auto const checkIn = [&](long long sequence) {
        return "{\"address\":\"" + address + "\",\"born\":" + std::to_string(born) + ",\"info\":{\"service\":\""
            + given.text("service") + "\",\"version\":\"v1\",\"zone\":\"" + given.text("zone")
            + "\",\"slots\":" + std::to_string(slots)
            + "},\"status\":{\"state\":\"ready\",\"sequence\":" + std::to_string(sequence) + ",\"cold_left_ms\":0}}";
    };
    std::thread([&] {
        for (long long sequence = 1;; ++sequence) {
            if (mustLeave) {
                auto const late = given.number("late-ms", 0);
                if (late > 0)
                    record.line(
                        "worker " + id + " check-in " + std::to_string(sequence) + " sent " + std::to_string(nowMs()));
                int status = 0;
                while (status / 100 != 2)
                    status = call("/v1/Instances.Deregister/" + id, "{}");
                record.line("worker " + id + " leave-acked " + std::to_string(nowMs()));
                if (late > 0) {
                    sleepMs(late);
                    while (call("/v1/Instances.Heartbeat/" + id, checkIn(sequence)) == 0)
                        sleepMs(50);
                    record.line("worker " + id + " check-in " + std::to_string(sequence) + " arrived "
                        + std::to_string(nowMs()));
                }
                return;
            }
            call("/v1/Instances.Heartbeat/" + id, checkIn(sequence));
            for (int i = 0; i < 150 && !mustLeave; ++i)
                sleepMs(10);
        }
    }).detach();

    serve(listening, [&](int socket) {
        reader from(socket);
        message request;
        while (from.next(request)) {
            auto const target = request.word(1);
            auto const attempt = request.header("Attempt-Id");
            auto const load = [&] {
                std::lock_guard lock(mutex);
                return std::to_string(running) + "," + std::to_string(waiting) + "," + std::to_string(slots);
            };
            if (target.rfind("/health", 0) == 0) {
                sendAll(socket, response(200, { { "Instance-Id", id }, { "Server-Load", load() } }, ""));
                continue;
            }
            if (attempt.empty()) {
                sendAll(socket, response(400, { { "Not-Executed", "1" } }, ""));
                continue;
            }
            if (auto const expected = request.header("Expected-Instance"); !expected.empty() && expected != id) {
                sendAll(socket, response(421, { { "Instance-Id", id }, { "Attempt-Id", attempt } }, ""));
                continue;
            }
            auto const deadline = nowMs() + std::atoll(request.header("Deadline-Ms").c_str());
            {
                std::unique_lock lock(mutex);
                bool isRefused = running >= slots && waiting >= 4 * slots;
                if (!isRefused && running >= slots) {
                    ++waiting;
                    while (running >= slots && nowMs() < deadline)
                        freed.wait_for(lock, std::chrono::milliseconds(5));
                    --waiting;
                    isRefused = running >= slots;
                }
                if (isRefused) {
                    lock.unlock();
                    sendAll(socket, response(503, { { "Not-Executed", "1" }, { "Attempt-Id", attempt } }, ""));
                    continue;
                }
                ++running;
            }
            record.line("worker " + id + " start " + attempt + " " + std::to_string(nowMs()));
            auto const end = std::min(deadline, nowMs() + std::atoll(argument(target, "work", "0").c_str()));
            bool isDropped = false;
            while (nowMs() < end && !isDropped) {
                sleepMs(std::min(2LL, end - nowMs()));
                isDropped = hasClosed(socket);
            }
            {
                std::lock_guard lock(mutex);
                --running;
            }
            freed.notify_one();
            record.line("worker " + id + (isDropped ? " dropped " : " end ") + attempt + " " + std::to_string(nowMs()));
            if (isDropped)
                return;
            if (nowMs() >= deadline) {
                sendAll(socket, response(504, { { "Attempt-Id", attempt } }, ""));
                continue;
            }
            auto const bytes = std::strtoull(argument(target, "bytes", "200").c_str(), nullptr, 10);
            if (!sendAll(socket,
                    response(200,
                        { { "Attempt-Id", attempt }, { "Response-Signature", id + "." + attempt },
                            { "Server-Load", load() }, { "Keep-Alive", "timeout=10" } },
                        bodyFor(attempt, bytes))))
                return;
        }
    });
}
