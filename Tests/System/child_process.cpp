#include "child_process.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace merlinpier {

namespace {

constexpr std::chrono::milliseconds pollPeriod { 5 };

int exitCodeOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

} // namespace

child_process::child_process(std::string const& program, std::vector<std::string> const& arguments, std::string logFile)
    : m_logFile(std::move(logFile))
{
    std::string const path = std::string(MERLINPIER_BINARY_DIR) + "/bin/" + program;
    std::vector<char*> argumentPointers { const_cast<char*>(path.c_str()) };
    for (auto const& argument : arguments)
        argumentPointers.push_back(const_cast<char*>(argument.c_str()));
    argumentPointers.push_back(nullptr);
    int const log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    m_pid = fork();
    if (m_pid == 0) {
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(path.c_str(), argumentPointers.data());
        _exit(127);
    }
    close(log);
}

child_process::~child_process() { kill(); }

bool child_process::waitUntilListening()
{
    while (log().find("listening ") == std::string::npos) {
        if (!isRunning())
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

void child_process::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void child_process::kill()
{
    signal(SIGKILL);
    waitForEnd();
}

int child_process::waitForEnd()
{
    if (m_pid > 0) {
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_exitCode = exitCodeOf(status);
        m_pid = -1;
    }
    return m_exitCode;
}

bool child_process::isRunning()
{
    if (m_pid <= 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == 0)
        return true;
    m_exitCode = exitCodeOf(status);
    m_pid = -1;
    return false;
}

std::string child_process::log() const
{
    std::ifstream file(m_logFile);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t child_process::peakResidentKilobytes() const
{
    constexpr std::string_view key = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(key))
            return std::stoul(line.substr(key.size()));
    }
    return 0;
}

} // namespace merlinpier
