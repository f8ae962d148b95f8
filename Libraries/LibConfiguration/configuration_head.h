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

// How many accepted submissions the head remembers. A repeat of a submission that is among them is recognized; an older
// one is met as a new submission, whose base revision then gives a conflict. The head is sent to every watching relay
// with each version, which bounds the number.
inline constexpr std::size_t rememberedSubmissions = 64;

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
    // Newest last, at most rememberedSubmissions.
    std::vector<accepted_submission> recent;

    bool operator==(configuration_head const&) const = default;

    // Returns the submission of that identifier, or nothing if it is not among the recent ones.
    accepted_submission const* find(std::string const& id) const;
    // Whether a submission that was accepted as that version would still be among the recent ones.
    bool remembers(version_number) const;
    // Returns the head that follows this one by accepting a submission.
    configuration_head next(std::string const& nextManifestDigest, accepted_submission) const;
};

std::string serializeHead(configuration_head const&);
// BadInput for anything but what serializeHead() writes, such as recent versions that do not rise by one.
result<configuration_head> parseHead(std::string_view);

} // namespace merlinpier
