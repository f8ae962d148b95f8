#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace merlinpier {

// A program of the build that a test starts, signals by its process id, and always ends.
class child_process {
public:
    // Starts a program of the build folder's bin; its output goes to the log file.
    child_process(std::string const& program, std::vector<std::string> const& arguments, std::string logFile);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    // Waits until the program says that it listens; false if it ended first.
    bool waitUntilListening();
    void signal(int number);
    // Kills the program and waits for its end.
    void kill();
    // Waits for the program to end by itself and returns its exit code, or minus the signal that ended it.
    int waitForEnd();
    bool isRunning();
    std::string log() const;
    // The largest resident set of the process so far, in kilobytes.
    std::size_t peakResidentKilobytes() const;

private:
    pid_t m_pid { -1 };
    std::string m_logFile;
    int m_exitCode { 0 };
};

} // namespace merlinpier
