#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace merlinpier {

// One service's part of a configuration version, named by the digest of its content.
struct wire_fragment {
    std::string service;
    std::string digest;
    std::string content;

    bool operator==(wire_fragment const&) const = default;
};

// Says that a version is accepted; the receiver asks for it if it has not got it.
struct version_announce {
    std::uint64_t version { 0 };
    std::string manifestDigest;

    bool operator==(version_announce const&) const = default;
};

// Asks for a version, or for the newest with 0, less the fragments that the sender holds already.
struct configuration_request {
    std::uint64_t version { 0 };
    std::vector<std::string> knownDigests;

    bool operator==(configuration_request const&) const = default;
};

// A version's manifest and the fragments that the receiver does not hold. Also sent unasked, as a push.
struct configuration_answer {
    std::uint64_t version { 0 };
    std::string manifest;
    std::vector<wire_fragment> fragments;

    bool operator==(configuration_answer const&) const = default;
};

} // namespace merlinpier
