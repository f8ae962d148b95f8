#include "tenant_part.h"

#include <LibCore/log.h>
#include <nlohmann/json.hpp>

namespace merlinpier {

namespace {

constexpr seconds limitedLogPeriod { 10 };
constexpr seconds expiryPeriod { 1 };
// Tenants with gauges of their own; metrics need a bounded number of labels.
constexpr std::size_t shownTenants = 20;
constexpr char const* otherTenants = "_other";
constexpr char const* demandGauge = "merlinpier_tenant_demand";
constexpr char const* shareGauge = "merlinpier_tenant_share";
constexpr char const* limitedGauge = "merlinpier_tenant_limited";

// Text that may hold a quote, for a label's value.
std::string labelText(std::string const& text)
{
    std::string escaped;
    for (char const letter : text) {
        if (letter == '"' || letter == '\\')
            escaped += '\\';
        escaped += letter == '\n' ? ' ' : letter;
    }
    return escaped;
}

nlohmann::json tenantJson(tenant const& configured, std::optional<tenant_use> const& use)
{
    nlohmann::json json { { "name", configured.name },
        { "priority", configured.priority ? nlohmann::json(*configured.priority) : nlohmann::json() },
        { "rate", static_cast<double>(configured.milliPerSecond) / milliPerRequest },
        { "burst", static_cast<double>(configured.burstMilli) / milliPerRequest },
        { "allowed", use ? use->allowed : 0 }, { "limited", use ? use->limited : 0 },
        { "own_demand", use ? use->ownDemand : 0 } };
    json["fleet_demand"] = use && use->fleetDemand ? nlohmann::json(*use->fleetDemand) : nlohmann::json();
    if (use && configured.isLimited()) {
        json["share"] = use->share;
        json["tokens"] = use->tokens;
    }
    return json;
}

std::string textOf(nlohmann::json const& json)
{
    // A name may hold bytes that are no text.
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

tenant_part::tenant_part(metrics& figures)
    : m_metrics(figures)
{
}

std::optional<milliseconds> tenant_part::take(tenant const& holder)
{
    auto const now = currentTime();
    auto const wait = m_quotas.take(holder, now);
    m_metrics.add(std::string("merlinpier_tenant_requests_total{outcome=\"") + (wait ? "limited" : "allowed") + "\"}");
    if (!wait)
        return std::nullopt;
    auto const retryAfter = std::chrono::ceil<milliseconds>(*wait);
    logLimited(holder.name, retryAfter, now);
    return retryAfter;
}

void tenant_part::logLimited(std::string const& tenantName, milliseconds retryAfter, time_point now)
{
    auto& log = m_limitedLogs[tenantName];
    ++log.refused;
    if (now < log.next)
        return;
    auto const use = m_quotas.use(tenantName, now);
    auto const rounded = [](double value) {
        return static_cast<std::int64_t>(value);
    };
    logWarning("tenant_limited",
        { { "tenant", tenantName }, { "refused", log.refused }, { "retry_after_ms", retryAfter.count() },
            { "own_demand", use ? rounded(use->ownDemand) : 0 },
            { "fleet_demand", use && use->fleetDemand ? rounded(*use->fleetDemand) : -1 },
            { "share_permille", use ? rounded(use->share * 1000) : 0 } });
    log = { now + limitedLogPeriod, 0 };
}

void tenant_part::didNotRun(std::string const& tenantName)
{
    m_metrics.add("merlinpier_tenant_requests_total{outcome=\"not_run\"}");
    m_quotas.didNotRun(tenantName, currentTime());
}

void tenant_part::tick()
{
    auto const now = currentTime();
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + expiryPeriod;
    m_quotas.expire(now);
    std::erase_if(
        m_limitedLogs, [&](auto const& entry) { return now >= entry.second.next && entry.second.refused == 0; });
}

std::string tenant_part::allJson(tenant_directory const& tenants)
{
    auto const now = currentTime();
    auto list = nlohmann::json::array();
    for (auto const& configured : tenants.tenants())
        list.push_back(tenantJson(configured, m_quotas.use(configured.name, now)));
    return textOf({ { "tenants", std::move(list) }, { "adds_up_zone", m_quotas.isRelaying() } });
}

std::optional<std::string> tenant_part::oneJson(tenant_directory const& tenants, std::string const& name)
{
    auto const* configured = tenants.findByName(name);
    if (!configured)
        return std::nullopt;
    return textOf(tenantJson(*configured, m_quotas.use(name, currentTime())));
}

void tenant_part::setGauges()
{
    auto const uses = m_quotas.uses(currentTime());
    std::set<std::string> labels;
    auto const show = [&](tenant_use const& use) {
        auto const label = "{tenant=\"" + labelText(use.name) + "\"}";
        m_metrics.setGauge(demandGauge + label, use.ownDemand);
        m_metrics.setGauge(shareGauge + label, use.share);
        m_metrics.setGauge(limitedGauge + label, static_cast<double>(use.limited));
        labels.insert(label);
    };
    tenant_use others { otherTenants };
    for (std::size_t i = 0; i < uses.size(); ++i) {
        if (i < shownTenants) {
            show(uses[i]);
            continue;
        }
        others.ownDemand += uses[i].ownDemand;
        others.limited += uses[i].limited;
    }
    if (uses.size() > shownTenants)
        show(others);
    for (auto const& label : m_gaugeLabels) {
        if (labels.contains(label))
            continue;
        for (std::string const gauge : { demandGauge, shareGauge, limitedGauge })
            m_metrics.removeGauge(gauge + label);
    }
    m_gaugeLabels = std::move(labels);
}

} // namespace merlinpier
