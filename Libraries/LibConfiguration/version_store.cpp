#include <LibConfiguration/version_store.h>

#include <algorithm>

namespace merlinpier {

namespace {

error refusedError(std::string message, std::string remedy)
{
    return { error_kind::Refused, std::move(message), std::move(remedy) };
}

} // namespace

version_store::version_store()
    : m_applied(configuration_set::createEmpty())
{
}

void version_store::raiseFloor(version_number floor) { m_floor = std::max(m_floor, floor); }

result<empty> version_store::apply(std::shared_ptr<configuration_set const> set)
{
    auto const offeredVersion = set->version();
    std::string const name = "version " + std::to_string(offeredVersion);
    if (offeredVersion == m_applied->version() && set->digest() != m_applied->digest()) {
        return refusedError(
            name + " is applied here, with different content, " + m_applied->digest() + " instead of " + set->digest(),
            "find out what else can write to the platform's store; submit the affected service again");
    }
    if (offeredVersion <= m_applied->version()) {
        return refusedError(
            name + " is not above the applied version " + std::to_string(m_applied->version()), "this needs no action");
    }
    if (offeredVersion < m_floor) {
        return refusedError(name + " is below version " + std::to_string(m_floor) + ", which this VM applied before",
            "wait for a newer version, or check that the platform's objects were not restored from an older copy");
    }
    m_applied = std::move(set);
    m_floor = offeredVersion;
    if (m_refusedVersion <= offeredVersion) {
        m_refusedVersion = 0;
        m_refusedReason.clear();
    }
    return empty {};
}

void version_store::refuse(version_number version, std::string reason)
{
    if (version <= m_applied->version() || version < m_refusedVersion)
        return;
    m_refusedVersion = version;
    m_refusedReason = std::move(reason);
}

bool version_store::isReady() const { return m_applied->version() > 0 && m_applied->version() >= m_floor; }

} // namespace merlinpier
