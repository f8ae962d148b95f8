#pragma once

#include <LibConfiguration/questionnaire.h>
#include <LibCore/result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace merlinpier {

// The generated configuration of one service: a fragment of a version. Deterministic to the byte from the answers.
struct service_configuration {
    std::string service;
    // Rises by one with each accepted change to this service.
    std::uint64_t revision { 0 };
    questionnaire answers;
    // Short queue in front of the slots, in calls.
    std::uint32_t queueLimit { 0 };
    // Retries allowed, in thousandths of calls.
    std::uint32_t retryBudgetPermille { 0 };
    // How long a copy that has just become ready receives less than its share.
    milliseconds slowStart { 0 };
    // How long answers of non-idempotent calls are kept for a repeat.
    milliseconds answerRetention { 0 };

    bool operator==(service_configuration const&) const = default;
};

// Derives the configuration of a service from its answers.
service_configuration generateServiceConfiguration(questionnaire const&, std::uint64_t revision);

// Writes and reads the content of a fragment: canonical JSON. Equal values give equal bytes and equal digests.
std::string serializeServiceConfiguration(service_configuration const&);
result<service_configuration> parseServiceConfiguration(std::string_view content);

} // namespace merlinpier
