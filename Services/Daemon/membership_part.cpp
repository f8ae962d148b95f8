#include "membership_part.h"

#include <LibCore/log.h>

namespace merlinpier {

membership_part::membership_part(membership_settings settings, std::uint64_t instance, peer_hub& hub,
    membership_listener& listener, std::uint64_t seed)
    : m_hub(hub)
    , m_listener(listener)
    , m_member(std::move(settings), instance)
    , m_generator(seed)
{
}

void membership_part::didReceive(std::string const& address, message const& content)
{
    std::vector<membership_action> actions;
    actions = m_member.didReceive(address, content, currentTime(), m_generator);
    carryOut(std::move(actions));
}

void membership_part::didFailToReach(std::string const& address) { m_member.didFailToReach(address, currentTime()); }

void membership_part::tick()
{
    std::vector<membership_action> actions;
    actions = m_member.tick(currentTime(), m_generator);
    carryOut(std::move(actions));
    logRelays();
}

void membership_part::setTargets(std::vector<target_record> targets)
{
    std::vector<membership_action> actions;
    actions = m_member.setTargets(std::move(targets), currentTime());
    carryOut(std::move(actions));
}

void membership_part::setApplied(std::uint64_t version, std::uint64_t refused, std::string reason)
{
    std::vector<membership_action> actions;
    actions = m_member.setApplied(version, refused, std::move(reason), currentTime());
    carryOut(std::move(actions));
}

void membership_part::setCrashReports(std::vector<crash_report> reports)
{
    carryOut(m_member.setCrashReports(std::move(reports), currentTime()));
}

void membership_part::setRollouts(std::vector<rollout_report> reports)
{
    carryOut(m_member.setRollouts(std::move(reports), currentTime()));
}

void membership_part::setLeaving()
{
    std::vector<membership_action> actions;
    actions = m_member.setLeaving(currentTime());
    carryOut(std::move(actions));
}

void membership_part::addSeeds(std::vector<std::string> const& seeds) { m_member.addSeeds(seeds); }

member_record membership_part::self() const { return m_member.self(); }

std::vector<std::string> membership_part::suspects() const { return m_member.suspects(currentTime()); }

bool membership_part::hasContact() const { return m_member.hasContact(currentTime()); }

distribution_peers membership_part::peers() const { return distribution_peers::of(m_member); }

std::uint64_t membership_part::highestClaim(std::string const& licence) const
{
    return m_member.table().highestClaim(licence);
}

std::uint64_t membership_part::appliedBefore() const { return m_member.appliedBefore(); }

void membership_part::buildSnapshot(std::shared_ptr<configuration_set const> const& configuration,
    departed_targets const& departed, version_rules const& rules,
    std::function<void(std::shared_ptr<routing_snapshot const>)> const& handOn) const
{
    handOn(routing_snapshot::build(configuration, m_member.table(), departed, rules));
}

void membership_part::carryOut(std::vector<membership_action> actions)
{
    bool changed = false;
    for (auto& action : actions) {
        if (auto const* sent = std::get_if<send_message>(&action)) {
            m_hub.sendControl(sent->address, sent->content);
        } else if (std::holds_alternative<membership_changed>(action)) {
            changed = true;
        } else if (std::holds_alternative<subscribers_changed>(action)) {
            m_listener.didChangeSubscribers();
        } else if (auto const* heard = std::get_if<newer_version_reported>(&action)) {
            logReportedVersion(*heard);
            if (heard->isPushMissed)
                m_listener.didMissPush(heard->address, heard->version);
            else
                m_listener.didHearVersion(heard->address, heard->version);
        }
    }
    if (changed)
        m_listener.didChangeMembership();
}

void membership_part::logRelays()
{
    std::string relays;
    for (auto const& address : m_member.relays())
        relays += (relays.empty() ? "" : ",") + address;
    auto const subscribedTo = m_member.subscribedRelay().value_or("all");
    auto const chosen = relays + " " + subscribedTo;
    if (chosen == m_loggedRelays)
        return;
    m_loggedRelays = chosen;
    logInfo("relays_chosen", { { "relays", relays }, { "subscribed_to", subscribedTo } });
}

void membership_part::logReportedVersion(newer_version_reported const& report)
{
    if (report == m_loggedReport)
        return;
    m_loggedReport = report;
    logInfo("version_reported",
        { { "by", report.address }, { "version", report.version },
            { "push_missed", report.isPushMissed ? "yes" : "no" } });
}

} // namespace merlinpier
