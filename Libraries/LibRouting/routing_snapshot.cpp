#include <LibRouting/routing_snapshot.h>

#include <algorithm>
#include <tuple>

namespace merlinpier {

namespace {

std::vector<std::string_view> segmentsOf(std::string_view path)
{
    path = path.substr(0, path.find('?'));
    std::vector<std::string_view> segments;
    std::size_t begin = path.starts_with('/') ? 1 : 0;
    while (begin <= path.size()) {
        std::size_t const end = std::min(path.find('/', begin), path.size());
        segments.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return segments;
}

bool isPathParameter(std::string_view segment) { return segment.starts_with('{') && segment.ends_with('}'); }

// Returns, for each segment in order, whether it matched literally; nothing if the path does not match the pattern.
std::optional<std::vector<bool>> matchSegments(
    std::vector<std::string_view> const& pattern, std::vector<std::string_view> const& path)
{
    if (pattern.size() != path.size())
        return std::nullopt;
    std::vector<bool> literal;
    for (std::size_t i = 0; i < path.size(); ++i) {
        bool const isParameter = isPathParameter(pattern[i]);
        if (isParameter ? path[i].empty() : pattern[i] != path[i])
            return std::nullopt;
        literal.push_back(!isParameter);
    }
    return literal;
}

bool isRoutable(member_record const& member, target_record const& target, configuration_set const& configuration)
{
    return member.state == member_state::Alive && target.state == target_state::Ready
        && configuration.isLicensed(target.service, target.licence);
}

bool isLeaving(member_record const& member, target_record const& target, configuration_set const& configuration)
{
    bool const isMemberLeaving = member.state == member_state::Leaving && target.state == target_state::Ready;
    bool const isDraining = member.state != member_state::Gone && target.state == target_state::Draining;
    return (isMemberLeaving || isDraining) && configuration.isLicensed(target.service, target.licence);
}

struct licence_claim {
    member_record const* member { nullptr };
    target_record const* target { nullptr };
};

// The higher claim comes first, hence its swapped sides in the comparison; then the smaller VM name and the smaller id.
bool outranks(licence_claim const& first, licence_claim const& second)
{
    return std::tie(second.target->claim, first.member->vm, first.target->id)
        < std::tie(first.target->claim, second.member->vm, second.target->id);
}

// A target that is not ready still holds its licence, so that a target elsewhere with a lower claim gets no calls.
bool claimsLicence(member_record const& member, target_record const& target)
{
    return member.state != member_state::Gone && target.state != target_state::Gone && !target.licence.empty();
}

std::map<std::string, licence_claim> highestClaims(membership_table const& membership)
{
    std::map<std::string, licence_claim> holders;
    for (auto const& [vm, member] : membership.records()) {
        for (auto const& target : member.targets) {
            if (!claimsLicence(member, target))
                continue;
            licence_claim const claim { &member, &target };
            auto const [holder, isNew] = holders.try_emplace(target.licence, claim);
            if (!isNew && outranks(claim, holder->second))
                holder->second = claim;
        }
    }
    return holders;
}

bool hasRoutableTarget(member_record const& member, std::string const& id, std::string const& service,
    configuration_set const& configuration)
{
    return std::any_of(member.targets.begin(), member.targets.end(), [&](target_record const& record) {
        return record.id == id && record.service == service && isRoutable(member, record, configuration);
    });
}

error danglingRoute(std::string const& what)
{
    return { error_kind::Internal, "dangling route: " + what,
        "keep the previous routing snapshot and report the defect with a state dump" };
}

} // namespace

entry_point_answer const* service_route::match(std::string_view method, std::string_view path) const
{
    auto const segments = segmentsOf(path);
    entry_point_answer const* best = nullptr;
    std::vector<bool> bestLiteral;
    for (auto const& candidate : configuration.answers.entryPoints) {
        if (candidate.method != method)
            continue;
        auto literal = matchSegments(segmentsOf(candidate.path), segments);
        if (!literal || (best && *literal <= bestLiteral))
            continue;
        best = &candidate;
        bestLiteral = std::move(*literal);
    }
    return best;
}

std::shared_ptr<routing_snapshot const> routing_snapshot::build(
    std::shared_ptr<configuration_set const> const& configurationSet, membership_table const& membership,
    departed_targets const& departed, version_rules const& rules)
{
    auto const& configuration = *configurationSet;
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->m_version = configuration.version();
    snapshot->m_configuration = configurationSet;
    for (auto const& [name, service] : configuration.services())
        snapshot->m_services[name].configuration = service;
    for (auto const& [licence, holder] : highestClaims(membership)) {
        auto const& [member, target] = holder;
        route_target const route { target->id, member->vm, member->zone, member->address, member->instance,
            target->slots, target->version, member->linkMbps };
        auto const access = accessOf(rules, target->service, target->version);
        bool const isReady = isRoutable(*member, *target, configuration);
        if (isReady && !departed.contains(*target) && access == version_access::Held)
            continue;
        if (isReady && !departed.contains(*target) && access == version_access::Canary)
            snapshot->m_canaries[target->service].targets.push_back(route);
        else if (isReady && !departed.contains(*target) && access == version_access::Stable)
            snapshot->m_services[target->service].targets.push_back(route);
        else if (isReady || isLeaving(*member, *target, configuration)) {
            if (access == version_access::Replaced)
                snapshot->m_replaced[target->service].targets.push_back(route);
            snapshot->m_services[target->service].leaving.push_back(route);
        }
    }
    auto const hasSmallerId = [](auto const& first, auto const& second) {
        return first.id < second.id;
    };
    for (auto& [name, service] : snapshot->m_services) {
        std::sort(service.targets.begin(), service.targets.end(), hasSmallerId);
        std::sort(service.leaving.begin(), service.leaving.end(), hasSmallerId);
    }
    for (auto* of : { &snapshot->m_canaries, &snapshot->m_replaced }) {
        for (auto& [name, service] : *of) {
            service.configuration = snapshot->m_services[name].configuration;
            std::sort(service.targets.begin(), service.targets.end(), hasSmallerId);
        }
    }
    return snapshot;
}

service_route const* routing_snapshot::service(std::string const& name) const
{
    auto const found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

service_route const* routing_snapshot::canary(std::string const& name) const
{
    auto const found = m_canaries.find(name);
    return found == m_canaries.end() ? nullptr : &found->second;
}

service_route const* routing_snapshot::replaced(std::string const& name) const
{
    auto const found = m_replaced.find(name);
    return found == m_replaced.end() ? nullptr : &found->second;
}

result<empty> routing_snapshot::verify(configuration_set const& configuration, membership_table const& membership) const
{
    if (m_version != configuration.version())
        return danglingRoute("the snapshot and the configuration have different versions");
    for (auto const& [name, service] : m_services) {
        if (!configuration.services().contains(name))
            return danglingRoute("service " + name + " is not in the configuration");
        for (auto const& target : service.targets) {
            auto const member = membership.records().find(target.vm);
            if (member == membership.records().end())
                return danglingRoute("VM " + target.vm + " of target " + target.id + " is not a member");
            if (!hasRoutableTarget(member->second, target.id, name, configuration))
                return danglingRoute("target " + target.id + " of service " + name + " is not routable on its VM");
        }
    }
    return empty {};
}

} // namespace merlinpier
