#pragma once

#include <LibConfiguration/configuration_set.h>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Keys of the objects in the platform's store. Manifests and fragments are keyed by the digest of their content.
inline constexpr char const* headKey = "config/head";
std::string manifestKey(std::string const& digest);
std::string fragmentKey(std::string const& digest);

// Maximum number of accepted submissions listed in the head. A repeat of a listed submission is recognized; a repeat of
// an older one is treated as a new submission, which fails with Conflict if it gives its base revision. The number is
// bounded because the head is sent to every watching relay with each version.
inline constexpr std::size_t maximumRecentSubmissions = 64;

// A submission that was accepted.
struct accepted_submission {
    // Random, chosen by the operator's tool. A submission is not accepted again while the head lists its identifier.
    std::string id;
    version_number version { 0 };
    std::string service;
    std::uint64_t revision { 0 };
    std::string owner;

    bool operator==(accepted_submission const&) const = default;
};

// The mutable object whose conditional update commits a version. All other objects are immutable.
struct configuration_head {
    version_number version { 0 };
    std::string manifestDigest;
    // Consecutive versions, newest last, at most maximumRecentSubmissions.
    std::vector<accepted_submission> recent;

    bool operator==(configuration_head const&) const = default;

    // Returns the submission with the identifier, or null if the head does not list it.
    accepted_submission const* find(std::string const& id) const;
    // Whether the head still lists the submission that was accepted as the version.
    bool listsVersion(version_number) const;
    // Returns the successor of this head with one more accepted submission.
    configuration_head next(std::string const& nextManifestDigest, accepted_submission) const;
};

std::string serializeHead(configuration_head const&);
// Accepts keys in any order and any white space. BadInput for invalid JSON, a key that is missing, unknown or repeated,
// a value out of bounds, more than maximumRecentSubmissions entries, or listed versions that are not consecutive.
result<configuration_head> parseHead(std::string_view);

} // namespace merlinpier
