#pragma once

#include <LibConfiguration/configuration_set.h>
#include <string>
#include <string_view>
#include <vector>

namespace merlinpier {

// Keys of the platform's objects.
inline constexpr char const* headKey = "config/head";
std::string manifestKey(std::string const& digest);
std::string fragmentKey(std::string const& digest);
std::string answersKey(std::string const& digest);

// A submission that was accepted.
struct accepted_submission {
    // Chosen by the operator's tool, at random; the same identifier is never accepted twice.
    std::string id;
    version_number version { 0 };
    std::string service;
    std::uint64_t revision { 0 };
    std::string owner;

    bool operator==(accepted_submission const&) const = default;
};

// The one object whose conditional update accepts a version.
struct configuration_head {
    version_number version { 0 };
    std::string manifestDigest;
    // Newest last; bounded.
    std::vector<accepted_submission> recent;

    bool operator==(configuration_head const&) const = default;
};

std::string serializeHead(configuration_head const&);
result<configuration_head> parseHead(std::string_view);

} // namespace merlinpier
