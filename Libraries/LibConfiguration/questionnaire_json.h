#pragma once

#include <LibConfiguration/questionnaire.h>
#include <nlohmann/json_fwd.hpp>

namespace merlinpier {

// Reads and checks answers that are part of a larger JSON value; errors as parseQuestionnaire().
result<questionnaire> readQuestionnaire(nlohmann::json const&);

// Returns the answers as a JSON value.
nlohmann::json questionnaireToJson(questionnaire const&);

} // namespace merlinpier
