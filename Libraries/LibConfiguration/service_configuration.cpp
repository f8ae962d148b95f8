#include <LibConfiguration/service_configuration.h>

#include <LibConfiguration/questionnaire_json.h>
#include <LibCore/json_object_reader.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

// Calls that cannot meet their deadline are refused regardless of the queue's length, so the queue is sized for bursts
// below capacity: at 85% load, a queue of half the slots refuses 3% of the calls, one of twice the slots none
// (docs/design/calls.md).
constexpr std::uint32_t queuedCallsPerSlot = 2;
constexpr std::uint32_t defaultRetryBudgetPermille = 100;
constexpr milliseconds defaultSlowStart { 5000 };
// A caller may send a repeat until its deadline, and the repeat may itself last for one deadline.
constexpr int answerRetentionInDeadlines = 2;
constexpr milliseconds minimumAnswerRetention { 30000 };

constexpr std::size_t maximumFragmentBytes = 1024 * 1024;
constexpr std::uint64_t maximumRevision = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t maximumQueueLimit = 100000;
constexpr std::uint64_t maximumPermille = 1000;
constexpr std::uint64_t maximumSlowStartMs = 10 * 60 * 1000;
constexpr std::uint64_t maximumRetentionMs = 24 * 60 * 60 * 1000;

result<service_configuration> readService(nlohmann::json const& value)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "the fragment"));
    service_configuration configuration;
    configuration.service = TRY(reader.text("service"));
    configuration.revision = TRY(reader.number("revision", 1, maximumRevision));
    configuration.answers = TRY(readQuestionnaire(*TRY(reader.value("answers"))));
    configuration.queueLimit = static_cast<std::uint32_t>(TRY(reader.number("queue_limit", 0, maximumQueueLimit)));
    configuration.retryBudgetPermille
        = static_cast<std::uint32_t>(TRY(reader.number("retry_budget_permille", 0, maximumPermille)));
    configuration.slowStart = milliseconds(TRY(reader.number("slow_start_ms", 0, maximumSlowStartMs)));
    configuration.answerRetention = milliseconds(TRY(reader.number("answer_retention_ms", 0, maximumRetentionMs)));
    TRY(reader.finish());
    if (configuration.service != configuration.answers.service) {
        return error { error_kind::BadInput,
            "the fragment of service \"" + configuration.service + "\" contains the answers of \""
                + configuration.answers.service + "\"",
            "submit the answers again" };
    }
    return configuration;
}

} // namespace

service_configuration generateServiceConfiguration(questionnaire const& answers, std::uint64_t revision)
{
    milliseconds longestDeadline { 0 };
    for (auto const& entryPoint : answers.entryPoints)
        longestDeadline = std::max(longestDeadline, entryPoint.deadline);
    service_configuration configuration;
    configuration.service = answers.service;
    configuration.revision = revision;
    configuration.answers = answers;
    configuration.queueLimit = std::max<std::uint32_t>(1, answers.slotsPerCopy * queuedCallsPerSlot);
    configuration.retryBudgetPermille = defaultRetryBudgetPermille;
    configuration.slowStart = defaultSlowStart;
    configuration.answerRetention = std::max(minimumAnswerRetention, answerRetentionInDeadlines * longestDeadline);
    return configuration;
}

std::string serializeServiceConfiguration(service_configuration const& configuration)
{
    nlohmann::json const value { { "service", configuration.service }, { "revision", configuration.revision },
        { "answers", questionnaireToJson(configuration.answers) }, { "queue_limit", configuration.queueLimit },
        { "retry_budget_permille", configuration.retryBudgetPermille },
        { "slow_start_ms", configuration.slowStart.count() },
        { "answer_retention_ms", configuration.answerRetention.count() } };
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<service_configuration> parseServiceConfiguration(std::string_view content)
{
    auto const value = TRY(parseStrictJson(content, maximumFragmentBytes, "the fragment"));
    auto configuration = TRY(readService(value));
    // Only the canonical form is accepted, so that equal configurations always have equal digests.
    if (serializeServiceConfiguration(configuration) != content) {
        return error { error_kind::Corrupt,
            "the fragment of service \"" + configuration.service + "\" is not in canonical JSON",
            "submit the answers of the service again" };
    }
    return configuration;
}

} // namespace merlinpier
