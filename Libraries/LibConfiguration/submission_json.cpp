#include <LibConfiguration/submission_json.h>

#include <LibConfiguration/questionnaire_json.h>
#include <LibConfiguration/set_rules.h>
#include <LibCore/json_object_reader.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::size_t maximumBodyBytes = 1024 * 1024;
constexpr std::uint64_t maximumInteger = std::numeric_limits<std::int64_t>::max();

std::string dump(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json acceptedToJson(accepted_submission const& accepted)
{
    return { { "id", accepted.id }, { "version", accepted.version }, { "service", accepted.service },
        { "revision", accepted.revision } };
}

result<submission_kind> readKind(json_object_reader& reader)
{
    auto const kind = TRY(reader.text("kind"));
    if (kind == "submit")
        return submission_kind::Submit;
    if (kind == "remove")
        return submission_kind::Remove;
    return error { error_kind::BadInput, reader.name("kind") + " must be submit or remove, not \"" + kind + "\"",
        "choose one of the two" };
}

result<error_kind> parseKind(std::string const& name)
{
    for (int candidate = 0; candidate <= static_cast<int>(error_kind::Internal); ++candidate) {
        auto const kind = static_cast<error_kind>(candidate);
        if (name == errorKindName(kind))
            return kind;
    }
    return error { error_kind::Corrupt, "the answer contains the unknown error kind \"" + name + "\"",
        "use a command-line tool of the same version as the daemon" };
}

result<empty> readError(std::string_view body, error& failure)
{
    auto const value = TRY(parseStrictJson(body, maximumBodyBytes, "the answer"));
    auto reader = TRY(json_object_reader::tryCreate(value, "the answer"));
    failure.kind = TRY(parseKind(TRY(reader.text("kind"))));
    failure.message = TRY(reader.text("message"));
    failure.remedy = TRY(reader.text("remedy"));
    return empty {};
}

} // namespace

result<submission> parseSubmission(std::string_view body)
{
    auto const value = TRY(parseStrictJson(body, maximumBodyBytes, "the submission"));
    auto reader = TRY(json_object_reader::tryCreate(value, "the submission"));
    submission request;
    request.id = TRY(reader.text("id"));
    request.kind = TRY(readKind(reader));
    request.service = TRY(reader.text("service"));
    if (request.kind == submission_kind::Submit)
        request.answers = TRY(readQuestionnaire(*TRY(reader.value("answers"))));
    if (reader.has("base_revision"))
        request.baseRevision = TRY(reader.number("base_revision", 0, maximumInteger));
    TRY(reader.finish());
    return request;
}

std::string serializeSubmission(submission const& request)
{
    nlohmann::json value { { "id", request.id }, { "service", request.service },
        { "kind", request.kind == submission_kind::Submit ? "submit" : "remove" } };
    if (request.answers)
        value["answers"] = questionnaireToJson(*request.answers);
    if (request.baseRevision)
        value["base_revision"] = *request.baseRevision;
    return dump(value);
}

std::string serializeAccepted(accepted_submission const& accepted) { return dump(acceptedToJson(accepted)); }

result<accepted_submission> parseAccepted(std::string_view body)
{
    auto const value = TRY(parseStrictJson(body, maximumBodyBytes, "the answer"));
    auto reader = TRY(json_object_reader::tryCreate(value, "the answer"));
    accepted_submission accepted;
    accepted.id = TRY(reader.text("id"));
    accepted.version = TRY(reader.number("version", 1, maximumInteger));
    accepted.service = TRY(reader.text("service"));
    accepted.revision = TRY(reader.number("revision", 1, maximumInteger));
    return accepted;
}

std::string serializeError(error const& failure)
{
    return dump(
        { { "kind", errorKindName(failure.kind) }, { "message", failure.message }, { "remedy", failure.remedy } });
}

error parseError(std::string_view body)
{
    error failure;
    auto const read = readError(body, failure);
    if (read.isError())
        return { error_kind::Corrupt, read.failure().message, read.failure().remedy };
    return failure;
}

int httpStatus(error_kind kind)
{
    switch (kind) {
    case error_kind::BadInput:
    case error_kind::BadSettings:
        return 400;
    case error_kind::NotFound:
        return 404;
    case error_kind::Conflict:
        return 409;
    case error_kind::Unavailable:
    case error_kind::RateLimited:
    case error_kind::DeadlineExceeded:
    case error_kind::Refused:
        return 503;
    case error_kind::OutcomeUnknown:
    case error_kind::ConnectionLost:
        return 504;
    case error_kind::Corrupt:
    case error_kind::Internal:
        return 500;
    }
    return 500;
}

std::string serializeServices(configuration_set const& set)
{
    auto services = nlohmann::json::array();
    for (auto const& entry : set.versionManifest().entries) {
        services.push_back({ { "service", entry.service }, { "revision", entry.revision },
            { "owner", set.services().at(entry.service).answers.owner }, { "digest", entry.digest } });
    }
    return dump({ { "version", set.version() }, { "services", std::move(services) } });
}

std::string serializeServiceDetail(service_configuration const& configuration)
{
    return dump({ { "service", configuration.service }, { "revision", configuration.revision },
        { "answers", questionnaireToJson(configuration.answers) },
        { "generated", nlohmann::json::parse(serializeServiceConfiguration(configuration)) } });
}

std::string serializeHistory(configuration_head const& head)
{
    auto recent = nlohmann::json::array();
    for (auto const& accepted : head.recent) {
        auto value = acceptedToJson(accepted);
        value["owner"] = accepted.owner;
        recent.push_back(std::move(value));
    }
    return dump({ { "version", head.version }, { "recent", std::move(recent) } });
}

result<service_configuration> checkAnswers(questionnaire const& answers, configuration_set const& set)
{
    auto services = set.services();
    auto const* current = set.service(answers.service);
    auto const revision = current ? current->revision + 1 : set.versionManifest().revisionFloor + 1;
    auto generated = generateServiceConfiguration(answers, revision);
    services[answers.service] = generated;
    TRY(checkServices(services));
    return generated;
}

} // namespace merlinpier
