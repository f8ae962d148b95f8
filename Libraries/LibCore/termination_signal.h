#pragma once

namespace merlinpier {

// Waits for SIGTERM or SIGINT without a signal handler. Construct it in main before any thread starts: it blocks both
// signals in this thread and in all that it starts, so that only wait() receives them.
class termination_signal {
public:
    termination_signal();
    termination_signal(termination_signal const&) = delete;
    termination_signal& operator=(termination_signal const&) = delete;

    // Returns the number of the signal once one arrives.
    int wait();
};

} // namespace merlinpier
