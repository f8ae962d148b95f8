#include <LibCore/termination_signal.h>

#include <csignal>

namespace merlinpier {

namespace {

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

termination_signal::termination_signal()
{
    sigset_t const signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int termination_signal::wait()
{
    sigset_t const signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
    return received;
}

} // namespace merlinpier
