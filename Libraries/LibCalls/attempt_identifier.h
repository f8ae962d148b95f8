#pragma once

#include <cstdint>
#include <initializer_list>
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

// Derives the identifier of a call whose caller gave an Idempotency-Key from everything that makes it the same request:
// service, caller, key, method, path and body. Another request under the same key thus has an identifier of its own,
// and nobody gets the answer to a request that he did not make.
std::string keyedCallIdentifier(std::initializer_list<std::string_view> parts);

} // namespace merlinpier
