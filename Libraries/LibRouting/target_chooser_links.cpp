#include <LibRouting/target_chooser.h>

// The part of target_chooser that counts the links of the targets' VMs.

namespace merlinpier {

duration target_chooser::transferTime(route_target const& target, call_demand const& demand) const
{
    if (!demand.isBulk || target.vm == m_settings.vm)
        return duration::zero();
    return link_load::transferTime(target.linkMbps, bulkBytesUnderWay(target.address) + demand.bytes);
}

void target_chooser::didSendBulk(route_target const& target, std::size_t bytes)
{
    m_links[target.address].didBegin(bytes);
}

void target_chooser::didEndBulk(route_target const& target, std::size_t bytes)
{
    auto const found = m_links.find(target.address);
    if (found == m_links.end())
        return;
    found->second.didEnd(bytes);
    if (found->second.bytesUnderWay() == 0)
        m_links.erase(found);
}

std::size_t target_chooser::bulkBytesUnderWay(std::string const& address) const
{
    auto const found = m_links.find(address);
    return found == m_links.end() ? 0 : found->second.bytesUnderWay();
}

} // namespace merlinpier
