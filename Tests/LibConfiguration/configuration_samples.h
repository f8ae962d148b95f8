#pragma once

#include <LibConfiguration/configuration_set.h>
#include <LibConfiguration/questionnaire.h>
#include <string>
#include <vector>

namespace merlinpier {

// Returns valid answers of a small service that allows all callers.
questionnaire sampleAnswers(std::string const& service);

// Parses the file examples/NAME.json.
result<questionnaire> exampleAnswers(std::string const& name);

// Generates the fragments of the services, sorted by service, all at the given revision.
std::vector<wire_fragment> fragmentsOf(std::vector<questionnaire> const&, std::uint64_t revision);

// Returns a manifest that lists the fragments, all at the given revision.
manifest manifestOf(version_number, std::vector<wire_fragment> const&, std::uint64_t revision);

// Builds a configuration set from the answers, or returns the error of configuration_set::tryCreate().
result<std::shared_ptr<configuration_set const>> buildSet(
    version_number, std::vector<questionnaire> const&, std::uint64_t revision = 1);

} // namespace merlinpier
