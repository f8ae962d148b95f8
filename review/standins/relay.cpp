// A link with a bandwidth and small windows: passes bytes on in both directions, those towards the clients at --mbps
// altogether. Ends and resets are passed on.
// relay --listen IP:PORT --to IP:PORT --mbps N
#include "common.h"

namespace {

std::mutex mutex;
double tokens = 0;
auto filled = std::chrono::steady_clock::now();
double bytesPerSecond = 0;

void takeTokens(std::size_t bytes)
{
    while (true) {
        {
            std::lock_guard lock(mutex);
            auto const now = std::chrono::steady_clock::now();
            tokens = std::min(
                bytesPerSecond * 0.02, tokens + bytesPerSecond * std::chrono::duration<double>(now - filled).count());
            filled = now;
            if (tokens >= static_cast<double>(bytes)) {
                tokens -= static_cast<double>(bytes);
                return;
            }
        }
        sleepMs(1);
    }
}

void pass(int from, int to, bool isPaced)
{
    char buffer[4096];
    while (true) {
        if (isPaced)
            takeTokens(sizeof buffer);
        ssize_t const count = recv(from, buffer, sizeof buffer, 0);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0) {
            linger const reset { 1, 0 };
            setsockopt(to, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(to, SHUT_RDWR);
            return;
        }
        if (count == 0) {
            shutdown(to, SHUT_WR);
            return;
        }
        if (!sendAll(to, std::string(buffer, static_cast<std::size_t>(count)))) {
            shutdown(from, SHUT_RDWR);
            return;
        }
    }
}

} // namespace

int main(int count, char** words)
{
    options const given(count, words);
    bytesPerSecond = static_cast<double>(given.number("mbps", 17)) * 1e6 / 8;
    auto const to = given.text("to");
    serve(listenOn(given.text("listen")), [&](int client) {
        int const daemon = connectTo(to, 16 * 1024);
        if (daemon < 0)
            return;
        std::thread up([=] { pass(client, daemon, false); });
        pass(daemon, client, true);
        up.join();
        close(daemon);
    });
}
