#include <LibConfiguration/questionnaire.h>

#include <LibConfiguration/questionnaire_json.h>
#include <LibConfiguration/questionnaire_rules.h>
#include <LibCore/json_object_reader.h>
#include <LibWire/state_names.h>

#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr std::size_t maximumQuestionnaireBytes = 256 * 1024;

result<call_class> parseClass(json_object_reader& reader)
{
    auto const text = TRY(reader.text("class"));
    for (auto const candidate : { call_class::Interactive, call_class::Confirmation, call_class::Report }) {
        if (text == className(candidate))
            return candidate;
    }
    return error { error_kind::BadInput,
        reader.name("class") + " must be interactive, confirmation or report, not \"" + text + "\"",
        "choose one of the three" };
}

result<entry_point_answer> readEntryPoint(nlohmann::json const& value, std::size_t index)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "entry_points[" + std::to_string(index) + "]"));
    entry_point_answer entryPoint;
    entryPoint.name = TRY(reader.text("name"));
    entryPoint.method = TRY(reader.text("method"));
    entryPoint.path = TRY(reader.text("path"));
    entryPoint.isIdempotent = TRY(reader.boolean("idempotent"));
    entryPoint.callClass = TRY(parseClass(reader));
    entryPoint.deadline = milliseconds(TRY(reader.number("deadline_ms", 1, questionnaire_limits::deadlineMs)));
    TRY(reader.finish());
    return entryPoint;
}

nlohmann::json entryPointToJson(entry_point_answer const& entryPoint)
{
    return { { "name", entryPoint.name }, { "method", entryPoint.method }, { "path", entryPoint.path },
        { "idempotent", entryPoint.isIdempotent }, { "class", className(entryPoint.callClass) },
        { "deadline_ms", entryPoint.deadline.count() } };
}

} // namespace

result<questionnaire> readQuestionnaire(nlohmann::json const& value)
{
    auto reader = TRY(json_object_reader::tryCreate(value, "the answers"));
    questionnaire answers;
    answers.service = TRY(reader.text("service"));
    answers.owner = TRY(reader.text("owner"));
    answers.dependencies = TRY(reader.texts("dependencies", questionnaire_limits::dependencies));
    answers.allowedCallers = TRY(reader.texts("allowed_callers", questionnaire_limits::allowedCallers));
    auto const* entryPoints = TRY(reader.list("entry_points", questionnaire_limits::entryPoints));
    for (auto const& entryPoint : *entryPoints)
        answers.entryPoints.push_back(TRY(readEntryPoint(entryPoint, answers.entryPoints.size())));
    answers.licences = TRY(reader.texts("licences", questionnaire_limits::licences));
    answers.slotsPerCopy
        = static_cast<std::uint32_t>(TRY(reader.number("slots_per_copy", 1, questionnaire_limits::slotsPerCopy)));
    answers.drainTime = milliseconds(TRY(reader.number("drain_time_ms", 1, questionnaire_limits::drainTimeMs)));
    TRY(reader.finish());
    TRY(checkQuestionnaire(answers));
    return answers;
}

nlohmann::json questionnaireToJson(questionnaire const& answers)
{
    auto entryPoints = nlohmann::json::array();
    for (auto const& entryPoint : answers.entryPoints)
        entryPoints.push_back(entryPointToJson(entryPoint));
    return { { "service", answers.service }, { "owner", answers.owner }, { "dependencies", answers.dependencies },
        { "allowed_callers", answers.allowedCallers }, { "entry_points", std::move(entryPoints) },
        { "licences", answers.licences }, { "slots_per_copy", answers.slotsPerCopy },
        { "drain_time_ms", answers.drainTime.count() } };
}

result<questionnaire> parseQuestionnaire(std::string_view json)
{
    auto const value = TRY(parseStrictJson(json, maximumQuestionnaireBytes, "the questionnaire"));
    return readQuestionnaire(value);
}

std::string canonicalJson(questionnaire const& answers)
{
    return questionnaireToJson(answers).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string questionnaireTemplate(std::string const& service)
{
    questionnaire answers;
    answers.service = service;
    answers.owner = "name-of-the-team";
    answers.allowedCallers = { "*" };
    answers.entryPoints = {
        { "list", "GET", "/items/{item}", true, call_class::Interactive, milliseconds(2000) },
        { "reserve", "POST", "/reservations", false, call_class::Confirmation, milliseconds(5000) },
    };
    answers.licences = { service + "-licence-1", service + "-licence-2" };
    answers.slotsPerCopy = 6;
    answers.drainTime = seconds(10);
    constexpr int indentation = 4;
    return questionnaireToJson(answers).dump(indentation, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace merlinpier
