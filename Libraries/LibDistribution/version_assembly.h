#pragma once

#include <LibConfiguration/configuration_set.h>
#include <LibCore/result.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace merlinpier {

// A version that is being received: collects its manifest and fragments from any source and reuses the fragments that
// it shares with the applied version.
class version_assembly {
public:
    version_assembly(version_number, std::shared_ptr<configuration_set const> applied);

    version_number version() const { return m_version; }
    bool hasManifest() const { return m_manifest.has_value(); }
    // Fails with BadInput or Corrupt, without changing anything, if the content is not a manifest of this version.
    result<empty> setManifest(std::string const& content);
    // Ignores a fragment whose content does not match its digest. Accepts fragments before the manifest is known.
    void addFragment(wire_fragment const&);
    // Adds the fragments that another assembly has received.
    void copyFragmentsFrom(version_assembly const& earlier);

    // Replaces the applied version whose fragments are reused.
    void rebase(std::shared_ptr<configuration_set const> applied);

    // Digests that the manifest lists and that are not held yet; empty without a manifest.
    std::vector<std::string> missingDigests() const;
    bool isComplete() const { return hasManifest() && missingDigests().empty(); }
    // Digests of all fragments held, which a peer need not send.
    std::vector<std::string> knownDigests() const;
    // Validates the version and returns it as a set. Call it only if isComplete(). Fails as
    // configuration_set::tryCreate() does.
    result<std::shared_ptr<configuration_set const>> finish() const;

private:
    version_number m_version;
    std::optional<manifest> m_manifest;
    std::shared_ptr<configuration_set const> m_appliedSet;
    // Fragments by digest: those of the applied version, and those received for this one.
    std::map<std::string, wire_fragment> m_applied;
    std::map<std::string, wire_fragment> m_received;
};

} // namespace merlinpier
