#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace merlinpier {

// One key=value pair of a log line.
struct log_field {
    log_field(std::string_view key, std::string_view value);
    log_field(std::string_view key, char const* value);
    log_field(std::string_view key, std::string const& value);
    log_field(std::string_view key, std::int64_t value);
    log_field(std::string_view key, std::uint64_t value);
    log_field(std::string_view key, int value);

    std::string key;
    std::string value;
};

// Prepares glog to write lines of at least the level to standard error; call once at the start of main.
void startLogging(char const* program, int minimumLevel);

// Prepares glog to write lines to standard output in the way of a server: lines wait in a bounded buffer until
// flushLog() writes as many as standard output takes without blocking, and each event may write so many a second. What
// is left out is counted and told in a line of its own.
void startBoundedLogging(char const* program, int minimumLevel);
void flushLog();

// Write one line for one event: "event=NAME key=value ...". Values with spaces are quoted.
void logInfo(std::string_view event, std::initializer_list<log_field> fields = {});
void logWarning(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace merlinpier
