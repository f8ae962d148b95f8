#pragma once

#include <LibConfiguration/questionnaire.h>
#include <nlohmann/json_fwd.hpp>

namespace merlinpier {

// Parses and validates answers that are embedded in a larger JSON value. Fails like parseQuestionnaire().
result<questionnaire> readQuestionnaire(nlohmann::json const&);

nlohmann::json questionnaireToJson(questionnaire const&);

} // namespace merlinpier
