#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace merlinpier {

// What targets of one software version get. Stable: calls as usual. Canary: only the attempts that a rollout grants to
// the new version. Replaced: none, except repeats of calls with an idempotency
// key that they have run. Held: none.
enum class version_access : std::uint8_t { Stable, Canary, Replaced, Held };

// The versions of each service that are not Stable. Services and versions that are not named are Stable.
using version_rules = std::map<std::string, std::map<std::string, version_access>>;

inline version_access accessOf(version_rules const& rules, std::string const& service, std::string const& version)
{
    auto const found = rules.find(service);
    if (found == rules.end())
        return version_access::Stable;
    auto const rule = found->second.find(version);
    return rule == found->second.end() ? version_access::Stable : rule->second;
}

} // namespace merlinpier
