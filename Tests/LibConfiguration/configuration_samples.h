#pragma once

#include <LibConfiguration/configuration_set.h>
#include <LibConfiguration/questionnaire.h>
#include <string>
#include <vector>

namespace merlinpier {

// Valid answers of a small service that anybody may call.
questionnaire sampleAnswers(std::string const& service);

// Reads a file below examples/, named without its ending.
result<questionnaire> exampleAnswers(std::string const& name);

// Builds the fragments of a version from answers, each at the same revision.
std::vector<wire_fragment> fragmentsOf(std::vector<questionnaire> const&, std::uint64_t revision);

// Returns the manifest that names the fragments.
manifest manifestOf(version_number, std::vector<wire_fragment> const&, std::uint64_t revision);

// Builds a version, or the error that it meets.
result<std::shared_ptr<configuration_set const>> buildSet(
    version_number, std::vector<questionnaire> const&, std::uint64_t revision = 1);

} // namespace merlinpier
