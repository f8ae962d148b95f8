#include <LibCore/log.h>

#include <LibCore/bounded_log_sink.h>

#include <absl/strings/escaping.h>
#include <glog/logging.h>
#include <unistd.h>

namespace merlinpier {

namespace {

std::string quoted(std::string_view value)
{
    std::string const escaped = absl::CEscape(absl::string_view(value.data(), value.size()));
    bool const isPlain = !escaped.empty() && escaped.find_first_of(" =\\") == std::string::npos;
    return isPlain ? escaped : "\"" + escaped + "\"";
}

std::string line(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string text = "event=" + std::string(event);
    for (auto const& field : fields)
        text += " " + field.key + "=" + quoted(field.value);
    return text;
}

bounded_log_sink* installedSink = nullptr;

} // namespace

log_field::log_field(std::string_view key, std::string_view value)
    : key(key)
    , value(value)
{
}

log_field::log_field(std::string_view key, char const* value)
    : log_field(key, std::string_view(value))
{
}

log_field::log_field(std::string_view key, std::string const& value)
    : log_field(key, std::string_view(value))
{
}

log_field::log_field(std::string_view key, std::int64_t value)
    : log_field(key, std::string_view(std::to_string(value)))
{
}

log_field::log_field(std::string_view key, std::uint64_t value)
    : log_field(key, std::string_view(std::to_string(value)))
{
}

log_field::log_field(std::string_view key, int value)
    : log_field(key, std::string_view(std::to_string(value)))
{
}

void startLogging(char const* program, int minimumLevel)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = minimumLevel;
    google::InitGoogleLogging(program);
}

void startBoundedLogging(char const* program, int minimumLevel)
{
    static bounded_log_sink sink(STDOUT_FILENO);
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    FLAGS_minloglevel = minimumLevel;
    google::InitGoogleLogging(program);
    // An empty name keeps glog from writing files.
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    google::AddLogSink(&sink);
    installedSink = &sink;
}

void flushLog()
{
    if (installedSink)
        installedSink->flush();
}

void logInfo(std::string_view event, std::initializer_list<log_field> fields)
{
    // Lines of a server do not pass through glog, which makes two system calls for each.
    if (!installedSink)
        LOG(INFO) << line(event, fields);
    else if (installedSink->admits(event))
        installedSink->append("INFO", line(event, fields));
}

void logWarning(std::string_view event, std::initializer_list<log_field> fields)
{
    if (!installedSink)
        LOG(WARNING) << line(event, fields);
    else if (installedSink->admits(event))
        installedSink->append("WARNING", line(event, fields));
}

} // namespace merlinpier
