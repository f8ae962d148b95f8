#pragma once

#include <LibConfiguration/questionnaire.h>
#include <LibCore/result.h>
#include <cstddef>
#include <cstdint>
#include <string>

namespace merlinpier {

// Bounds of a questionnaire. Together they keep a generated fragment below the platform's limit of 1 MB per object.
namespace questionnaire_limits {
inline constexpr std::size_t dependencies = 64;
inline constexpr std::size_t allowedCallers = 256;
inline constexpr std::size_t entryPoints = 64;
inline constexpr std::size_t licences = 1024;
inline constexpr std::size_t nameBytes = 63;
inline constexpr std::size_t ownerBytes = 128;
inline constexpr std::size_t pathBytes = 512;
inline constexpr std::uint64_t deadlineMs = 10 * 60 * 1000;
inline constexpr std::uint64_t drainTimeMs = 60 * 60 * 1000;
inline constexpr std::uint64_t slotsPerCopy = 10000;
} // namespace questionnaire_limits

// Whether the text is a service name: 1 to 63 lower-case letters, digits and hyphens, the first a letter.
bool isServiceName(std::string const&);

// Validates the answers of one service without regard to other services. Applied to answers from operators, peers and
// the platform alike. BadInput names the key, the allowed values and the remedy.
result<empty> checkQuestionnaire(questionnaire const&);

} // namespace merlinpier
