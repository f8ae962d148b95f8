#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace merlinpier {

// Names one attempt of a call between two daemons: "CALL#N", or "CALL@N" for a call whose identifier was derived from
// an Idempotency-Key. N rises with every attempt of the first daemon's instance, whatever its call, so that no attempt
// identifier is used twice by one instance: a late duplicate of a refused attempt is told from a new attempt.
struct attempt_identifier {
    std::string call;
    std::uint64_t number { 0 };
    bool isKeyed { false };

    bool operator==(attempt_identifier const&) const = default;

    std::string text() const;
};

// Reads an attempt identifier; nothing if the text has none.
std::optional<attempt_identifier> parseAttemptIdentifier(std::string_view);

// Derives the identifier of a call from the key that its caller gave for a service and an entry point.
std::string keyedCallIdentifier(std::string_view service, std::string_view entryPoint, std::string_view key);

} // namespace merlinpier
