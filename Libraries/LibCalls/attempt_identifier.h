#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace merlinpier {

// Identifies one attempt of a call between two daemons. Its text form is "CALL#N", or "CALL@N" for a call whose
// identifier was derived from an Idempotency-Key. N increases with every attempt of an instance of the originating
// daemon, across all calls, so that no instance uses an attempt identifier twice. A late duplicate of a refused attempt
// can thus be distinguished from a new attempt.
struct attempt_identifier {
    std::string call;
    std::uint64_t number { 0 };
    bool isKeyed { false };

    bool operator==(attempt_identifier const&) const = default;

    std::string text() const;
};

// Parses an attempt identifier; nullopt if the text is malformed.
std::optional<attempt_identifier> parseAttemptIdentifier(std::string_view);

// Derives the identifier of a call with an Idempotency-Key from everything that makes it the same request: service,
// caller, key, method, path and body. A different request with the same key gets a different identifier, so that no
// caller receives the answer to a request that it did not make.
std::string keyedCallIdentifier(std::initializer_list<std::string_view> parts);

} // namespace merlinpier
