#include "daemon_settings.h"

#include <LibNet/endpoint.h>

namespace merlinpier {

namespace {

constexpr std::int64_t shortestPeriodMs = 10;
constexpr std::int64_t longestPeriodMs = 600'000;
constexpr std::int64_t mebibyte = 1024 * 1024;

milliseconds readPeriod(settings_reader& reader, std::string const& key, milliseconds fallback)
{
    return milliseconds(reader.number(key, shortestPeriodMs, longestPeriodMs, fallback.count()));
}

void readMembership(settings_reader& reader, daemon_settings& settings)
{
    auto& membership = settings.membership;
    membership.vm = settings.vm;
    membership.zone = settings.zone;
    membership.address = settings.advertisedAddress;
    membership.httpAddress = settings.httpAddress;
    membership.seeds = reader.endpoints("seeds");
    membership.relaysPerZone = static_cast<std::size_t>(reader.number("relays_per_zone", 1, 16, 2));
    membership.maximumSubscribers = static_cast<std::size_t>(reader.number("maximum_subscribers", 1, 4096, 128));
    membership.heartbeatPeriod = readPeriod(reader, "heartbeat_period_ms", membership.heartbeatPeriod);
    membership.suspectTimeout = readPeriod(reader, "suspect_timeout_ms", membership.suspectTimeout);
    membership.repairPeriod = readPeriod(reader, "repair_period_ms", membership.repairPeriod);
    if (membership.suspectTimeout < 2 * membership.heartbeatPeriod)
        reader.addFault("suspect_timeout_ms is below twice heartbeat_period_ms, so that one lost heartbeat counts as a "
                        "failure",
            "raise suspect_timeout_ms or lower heartbeat_period_ms");
}

void readDistribution(settings_reader& reader, daemon_settings& settings)
{
    auto& distribution = settings.distribution;
    auto const mode = reader.choice("distribution", { "push", "announce", "baseline" }, "push");
    if (mode == "announce")
        distribution.mode = distribution_mode::Announce;
    if (mode == "baseline")
        distribution.mode = distribution_mode::Baseline;
    distribution.watchTimeout = readPeriod(reader, "platform_watch_ms", distribution.watchTimeout);
    distribution.platformCallsPerMinute = static_cast<std::uint32_t>(
        reader.number("platform_calls_per_minute", 1, 100'000, distribution.platformCallsPerMinute));
}

void readCalls(settings_reader& reader, daemon_settings& settings)
{
    settings.chooser.zone = settings.zone;
    settings.chooser.vm = settings.vm;
    if (reader.choice("choice", { "least_loaded_of_two", "random" }, "least_loaded_of_two") == "random")
        settings.chooser.policy = choice_policy::Random;
    if (reader.choice("admission", { "slots_and_queue", "unlimited" }, "slots_and_queue") == "unlimited")
        settings.server.admission = admission_policy::Unlimited;
    if (reader.choice("retries", { "proven_or_idempotent", "always" }, "proven_or_idempotent") == "always")
        settings.client.retries = retry_policy::Always;
    settings.server.answerRetention = readPeriod(reader, "answer_retention_ms", settings.server.answerRetention);
    settings.targetLease = readPeriod(reader, "target_lease_ms", settings.targetLease);
    settings.drainTimeout = readPeriod(reader, "drain_timeout_ms", settings.drainTimeout);
}

} // namespace

result<daemon_settings> daemon_settings::tryRead(settings_reader reader)
{
    daemon_settings settings;
    settings.vm = reader.requiredText("vm");
    settings.zone = reader.requiredText("zone");
    settings.peerAddress = reader.requiredEndpoint("peer_address");
    settings.advertisedAddress = reader.endpointText("advertised_address", settings.peerAddress);
    settings.httpAddress = reader.requiredEndpoint("http_address");
    settings.platformAddress = reader.requiredEndpoint("platform");
    readMembership(reader, settings);
    readDistribution(reader, settings);
    readCalls(reader, settings);
    settings.submissionTimeout = readPeriod(reader, "submission_timeout_ms", settings.submissionTimeout);
    // A daemon runs on one thread. The numbers of threads are still accepted, so that settings written for earlier
    // releases hold.
    reader.number("worker_threads", 1, 64, 2);
    reader.number("http_threads", 1, 64, 2);
    settings.maximumBodyBytes
        = static_cast<std::size_t>(reader.number("maximum_body_bytes", 1024, 4 * mebibyte, mebibyte));
    if (reader.choice("log_level", { "info", "warning" }, "info") == "warning")
        settings.logLevel = 1;
    if (!settings.peerAddress.empty() && settings.peerAddress == settings.httpAddress)
        reader.addFault("peer_address and http_address are the same", "give each listener a port of its own");
    TRY(reader.finish());
    return settings;
}

} // namespace merlinpier
