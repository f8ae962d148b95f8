#pragma once

#include <LibCore/result.h>
#include <LibCore/time.h>
#include <LibWire/call_messages.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// One way in which a service may be called.
struct entry_point_answer {
    std::string name;
    // GET, POST, PUT, PATCH or DELETE.
    std::string method;
    // A path of literal segments and "{name}" segments that match any one segment, such as "/slots/{hall}".
    std::string path;
    bool isIdempotent { false };
    call_class callClass { call_class::Interactive };
    milliseconds deadline { 0 };

    bool operator==(entry_point_answer const&) const = default;
};

// What a team answers about its service. JSON keys are snake case; durations end in _ms.
struct questionnaire {
    std::string service;
    std::string owner;
    // Services that this one calls.
    std::vector<std::string> dependencies;
    // Services allowed to call this one; "*" stands for anybody, callers outside the mesh included.
    std::vector<std::string> allowedCallers;
    std::vector<entry_point_answer> entryPoints;
    // Licence identifiers of the paid copies.
    std::vector<std::string> licences;
    std::uint32_t slotsPerCopy { 0 };
    milliseconds drainTime { 0 };

    bool operator==(questionnaire const&) const = default;
};

// Reads and checks the answers. An unknown key, a missing key, a wrong type or a value out of bounds gives BadInput
// with a message that names the key and what is allowed.
result<questionnaire> parseQuestionnaire(std::string_view json);

// Returns the answers in canonical JSON: keys sorted, no insignificant space. Equal answers give equal bytes.
std::string canonicalJson(questionnaire const&);

// Returns a filled-in example with the given service name, indented, to start from.
std::string questionnaireTemplate(std::string const& service);

} // namespace merlinpier
