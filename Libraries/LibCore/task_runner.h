#pragma once

#include <functional>

namespace merlinpier {

// Runs tasks later, in the order posted.
class task_runner {
public:
    virtual ~task_runner() = default;
    // Queues a task; ignored once the runner is stopped.
    virtual void post(std::function<void()>) = 0;
    // Runs what is queued and takes nothing more. Not to be called from a task.
    virtual void stop() = 0;
};

} // namespace merlinpier
