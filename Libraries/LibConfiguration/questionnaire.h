#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibWire/call_messages.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// One entry point of a service, as described by the team that owns the service.
struct entry_point_answer {
    std::string name;
    // GET, POST, PUT, PATCH or DELETE.
    std::string method;
    // A path of literal segments and "{name}" placeholders, each matching exactly one segment, such as "/slots/{hall}".
    std::string path;
    bool isIdempotent { false };
    call_class callClass { call_class::Interactive };
    milliseconds deadline { 0 };

    bool operator==(entry_point_answer const&) const = default;
};

// A team's answers about its service. In JSON, keys are in snake case and durations are milliseconds, in keys that end
// in _ms.
struct questionnaire {
    std::string service;
    std::string owner;
    // Services that this service calls.
    std::vector<std::string> dependencies;
    // Services allowed to call this service. "*" allows every caller, including callers outside the mesh.
    std::vector<std::string> allowedCallers;
    std::vector<entry_point_answer> entryPoints;
    // Licence identifiers, one for each paid copy of the service.
    std::vector<std::string> licences;
    // Maximum number of calls that one copy executes at the same time.
    std::uint32_t slotsPerCopy { 0 };
    // Time for a draining copy to finish its calls; not less than the longest deadline of an entry point.
    milliseconds drainTime { 0 };

    bool operator==(questionnaire const&) const = default;
};

// Parses and validates the answers. An unknown or missing key, a wrong type or a value out of bounds gives BadInput
// with a message that names the key and the allowed values.
result<questionnaire> parseQuestionnaire(std::string_view json);

// Serializes the answers as canonical JSON: sorted keys, no insignificant white space. Equal answers give equal bytes.
std::string canonicalJson(questionnaire const&);

// Returns valid example answers for the service as indented JSON, for the operator to edit.
std::string questionnaireTemplate(std::string const& service);

} // namespace merlinpier
