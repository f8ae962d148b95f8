#pragma once

#include <LibCore/time.h>
#include <cstdint>
#include <glog/logging.h>
#include <map>
#include <string>
#include <string_view>

namespace merlinpier {

// Takes log lines, those of glog itself included, into a bounded buffer and writes them to a descriptor without ever
// blocking. For processes that log from one thread.
class bounded_log_sink final : public google::LogSink {
public:
    explicit bounded_log_sink(int descriptor);

    // Whether the event may write another line in this second; counts it as left out otherwise.
    bool admits(std::string_view event);
    // Adds a line of the level, with the time.
    void append(char const* level, std::string_view message);
    // Writes what the descriptor takes now.
    void flush();

    // ^google::LogSink
    void send(google::LogSeverity, char const* fullFilename, char const* baseFilename, int line, tm const* time,
        char const* message, std::size_t messageLength) override;

private:
    struct event_count {
        std::uint32_t written { 0 };
        std::uint32_t leftOut { 0 };
    };

    void tellLeftOut();

    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped { 0 };
    std::map<std::string, event_count, std::less<>> m_events;
    time_point m_secondBegan;
};

} // namespace merlinpier
