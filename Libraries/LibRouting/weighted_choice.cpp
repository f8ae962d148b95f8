#include <LibRouting/weighted_choice.h>

#include <algorithm>
#include <set>

namespace merlinpier {

namespace {

std::int64_t totalWeight(route const& chosen)
{
    std::int64_t total = 0;
    for (auto const& part : chosen.services)
        total += part.weight;
    return total;
}

} // namespace

std::string weighted_choice::choose(route const& chosen, generator& source)
{
    if (chosen.services.size() == 1)
        return chosen.services.front().service;
    auto const total = totalWeight(chosen);
    if (total == 0)
        return {};
    auto& parts = m_routes[chosen.policy.name];
    bool const isSame = std::equal(parts.begin(), parts.end(), chosen.services.begin(), chosen.services.end(),
        [](weighted_part const& known, weighted_service const& given) {
            return known.service == given.service && known.weight == given.weight;
        });
    if (!isSame) {
        parts.clear();
        for (auto const& given : chosen.services)
            parts.push_back({ given.service, given.weight, 0 });
        // Starts at a random point of the cycle.
        auto const skipped = uniformBelow(source, static_cast<std::uint64_t>(total));
        auto const offset = static_cast<std::int64_t>(skipped);
        parts.front().currentWeight = offset;
        parts.back().currentWeight = -offset;
    }
    weighted_part* best = nullptr;
    for (auto& candidate : parts) {
        candidate.currentWeight += candidate.weight;
        if (candidate.weight > 0 && (!best || candidate.currentWeight > best->currentWeight))
            best = &candidate;
    }
    best->currentWeight -= total;
    return best->service;
}

void weighted_choice::keepOnly(route_table const& table)
{
    std::set<std::string> names;
    for (auto const& known : table.routes())
        names.insert(known.policy.name);
    std::erase_if(m_routes, [&](auto const& entry) { return !names.contains(entry.first); });
}

} // namespace merlinpier
