// Many clients, each with a connection of its own on which it sends a short request now and then.
// crowd --to IP:PORT --host NAME --path /PREFIX/ --clients N --hold-ms N --prefix TEXT --record FILE
#include "common.h"

#include <sys/resource.h>

int main(int count, char** words)
{
    options const given(count, words);
    rlimit descriptors {};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
    record out(given.text("record"));
    auto const clients = static_cast<std::size_t>(given.number("clients", 100));
    std::vector<int> sockets;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < clients; ++i) {
        int const socket = connectTo(given.text("to"));
        if (socket >= 0)
            sockets.push_back(socket);
        else
            ++refused;
        if (i % 50 == 49)
            sleepMs(5);
    }
    out.line("crowd " + std::to_string(sockets.size()) + " connections, " + std::to_string(refused) + " refused "
        + std::to_string(nowMs()));
    sleepMs(given.number("hold-ms", 10000));
}
