#include <LibNet/link_table.h>

#include <algorithm>

namespace merlinpier {

struct link_table::link {
    std::string address;
    // The highest generation used so far; it outlives restarts of the peer.
    std::uint64_t generation { 0 };
    // Carries calls, unless it is silent.
    std::optional<attempt> current;
    std::optional<attempt> opening;
    bool isSilent { false };
    std::size_t outstanding { 0 };
    // Since when something has been outstanding or sent without any frame in return.
    std::optional<time_point> waitingSince;
    std::optional<time_point> failedAt;
};

link_table::link_table(link_settings settings)
    : m_settings(settings)
{
}

std::vector<link_action> link_table::require(std::string const& address, time_point now)
{
    std::vector<link_action> actions;
    auto& link = linkTo(address);
    if (link.current || link.opening)
        return actions;
    if (link.failedAt && now - *link.failedAt < m_settings.retryDelay)
        actions.emplace_back(link_unreachable { address });
    else
        open(link, now, actions);
    return actions;
}

std::vector<link_action> link_table::replace(std::string const& address, time_point now)
{
    std::vector<link_action> actions;
    auto& link = linkTo(address);
    if (!link.current || link.opening)
        return actions;
    link.isSilent = true;
    open(link, now, actions);
    return actions;
}

void link_table::didOpen(std::string const& address, std::uint64_t generation, connection_id connection, time_point now)
{
    auto& link = linkTo(address);
    if (!link.opening || link.opening->generation != generation)
        return;
    link.opening->connection = connection;
    link.opening->openedAt = now;
    m_addresses[connection] = address;
}

std::vector<link_action> link_table::didReceiveHelloAnswer(
    connection_id connection, hello_answer const& answer, time_point now)
{
    std::vector<link_action> actions;
    auto* link = linkOf(connection);
    if (link == nullptr || !link->opening || link->opening->connection != connection) {
        didReceive(connection, now);
        return actions;
    }
    if (answer.generation != link->opening->generation) {
        failOpening(*link, now, actions);
        return actions;
    }
    loseCurrent(*link, actions);
    link->current = link->opening;
    link->opening.reset();
    link->current->instance = answer.instance;
    link->current->heardAt = now;
    link->current->pingedAt = now;
    link->isSilent = false;
    link->failedAt.reset();
    link->waitingSince.reset();
    if (link->outstanding > 0)
        link->waitingSince = now;
    // The owner sends its questions about the calls of the lost generation after it has learnt of both.
    auto const closing = std::stable_partition(actions.begin(), actions.end(),
        [](auto const& action) { return !std::holds_alternative<close_connection>(action); });
    actions.insert(closing, *current(link->address));
    return actions;
}

void link_table::didReceive(connection_id connection, time_point now)
{
    auto* link = linkOf(connection);
    if (link == nullptr || !link->current || link->current->connection != connection)
        return;
    link->current->heardAt = now;
    if (link->outstanding == 0)
        link->waitingSince.reset();
}

std::vector<link_action> link_table::didClose(connection_id connection, time_point now)
{
    std::vector<link_action> actions;
    auto* link = linkOf(connection);
    if (link == nullptr)
        return actions;
    m_addresses.erase(connection);
    if (link->opening && link->opening->connection == connection) {
        link->opening->connection.reset();
        failOpening(*link, now, actions);
        return actions;
    }
    if (!link->current || link->current->connection != connection)
        return actions;
    link->current->connection.reset();
    loseCurrent(*link, actions);
    if (link->outstanding > 0 && !link->opening)
        open(*link, now, actions);
    return actions;
}

void link_table::setOutstanding(std::string const& address, std::size_t count, time_point now)
{
    auto& link = linkTo(address);
    if (link.outstanding == 0 && count > 0 && !link.waitingSince)
        link.waitingSince = now;
    if (link.outstanding > 0 && count == 0)
        link.waitingSince.reset();
    link.outstanding = count;
}

void link_table::didSend(std::string const& address, time_point now)
{
    auto& link = linkTo(address);
    if (link.current && !link.waitingSince)
        link.waitingSince = now;
}

std::vector<link_action> link_table::tick(time_point now)
{
    std::vector<link_action> actions;
    if (!m_tickedAt || now - *m_tickedAt > m_settings.stallAllowance)
        m_listeningSince = now;
    m_tickedAt = now;
    for (auto& [address, link] : m_links)
        tickLink(*link, now, actions);
    return actions;
}

std::optional<link_ready> link_table::current(std::string const& address) const
{
    auto const found = m_links.find(address);
    if (found == m_links.end() || !found->second->current || found->second->isSilent)
        return {};
    auto const& current = *found->second->current;
    return link_ready { address, current.connection.value_or(0), current.generation, current.instance };
}

link_table::link& link_table::linkTo(std::string const& address)
{
    auto& entry = m_links[address];
    if (!entry) {
        entry = std::make_shared<link>();
        entry->address = address;
    }
    return *entry;
}

link_table::link* link_table::linkOf(connection_id connection)
{
    auto const found = m_addresses.find(connection);
    return found == m_addresses.end() ? nullptr : m_links.at(found->second).get();
}

void link_table::open(link& link, time_point now, std::vector<link_action>& actions)
{
    link.opening = attempt { .generation = ++link.generation, .openedAt = now };
    actions.emplace_back(open_connection { link.address, link.generation });
}

// Closes the connection of an attempt and forgets it, so that nothing that still arrives on it counts.
void link_table::drop(std::optional<attempt>& dropped, std::vector<link_action>& actions)
{
    if (dropped->connection) {
        m_addresses.erase(*dropped->connection);
        actions.emplace_back(close_connection { *dropped->connection });
    }
    dropped.reset();
}

void link_table::loseCurrent(link& link, std::vector<link_action>& actions)
{
    if (!link.current)
        return;
    actions.emplace_back(link_lost { link.address, link.current->generation });
    drop(link.current, actions);
    link.isSilent = false;
}

// A silent connection is given up with its replacement: the peer may have met the new hello, and would then refuse all
// that the old connection still carries.
void link_table::failOpening(link& link, time_point now, std::vector<link_action>& actions)
{
    drop(link.opening, actions);
    loseCurrent(link, actions);
    link.failedAt = now;
    actions.emplace_back(link_unreachable { link.address });
}

void link_table::tickLink(link& link, time_point now, std::vector<link_action>& actions)
{
    if (link.opening) {
        if (now - std::max(link.opening->openedAt, m_listeningSince) >= m_settings.connectTimeout)
            failOpening(link, now, actions);
        return;
    }
    if (link.current) {
        watchCurrent(link, now, actions);
        return;
    }
    bool const mayTry = !link.failedAt || now - *link.failedAt >= m_settings.retryDelay;
    if (link.outstanding > 0 && mayTry)
        open(link, now, actions);
}

void link_table::watchCurrent(link& link, time_point now, std::vector<link_action>& actions)
{
    if (!link.waitingSince)
        return;
    auto& current = *link.current;
    auto const quietSince = std::max({ current.heardAt, *link.waitingSince, m_listeningSince });
    if (now - quietSince >= m_settings.silenceTimeout) {
        link.isSilent = true;
        open(link, now, actions);
        return;
    }
    bool const isPingDue = now - std::max(current.pingedAt, *link.waitingSince) >= m_settings.pingPeriod;
    if (!isPingDue)
        return;
    current.pingedAt = now;
    actions.emplace_back(send_ping { *current.connection, ++m_pings });
}

} // namespace merlinpier
