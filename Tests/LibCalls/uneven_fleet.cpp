#include <Tests/LibCalls/uneven_fleet.h>

#include <LibCore/digest.h>
#include <cmath>
#include <numbers>

namespace merlinpier::fixture {

namespace {

constexpr milliseconds tickPeriod { 25 };
constexpr microseconds zoneDelay { 400 };
constexpr milliseconds farDelay { 2 };
constexpr milliseconds figuresPeriod { 500 };
constexpr std::size_t frameBytes = 300;
constexpr std::size_t requestBytes = 400;
constexpr std::size_t answerBytes = 900;

double secondsOf(duration time) { return std::chrono::duration<double>(time).count(); }

duration fromSeconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

double fleet_figures::flapping() const
{
    double sum = 0;
    std::size_t changes = 0;
    for (auto const& [when, counts] : farAndAll) {
        auto const next = farAndAll.find({ when.first + 1, when.second });
        if (next == farAndAll.end())
            continue;
        auto const share = [](auto const& pair) {
            return static_cast<double>(pair.first) / static_cast<double>(pair.second);
        };
        sum += std::abs(share(next->second) - share(counts));
        ++changes;
    }
    return changes == 0 ? 0 : sum / static_cast<double>(changes);
}

std::vector<fleet_kind> loanKinds()
{
    auto const kind = [](char const* name, bool isIdempotent, int work, int objective, int timeout, double share) {
        fleet_kind made;
        made.policy.name = name;
        made.policy.isIdempotent = isIdempotent;
        made.policy.latencyObjective = milliseconds(objective);
        made.policy.timeout = milliseconds(timeout);
        made.policy.maximumAttempts = 3;
        made.work = milliseconds(work);
        made.share = share;
        return made;
    };
    return { kind("balance", true, 190, 600, 1200, 0.7), kind("payout", false, 240, 800, 1500, 0.2),
        kind("file", true, 460, 1500, 3000, 0.1) };
}

uneven_fleet::uneven_fleet(uneven_fleet_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_arrivals(m_settings.seed + 1)
{
    if (m_settings.kinds.empty())
        m_settings.kinds = loanKinds();
    auto const count = m_settings.zones * m_settings.vmsPerZone;
    std::vector<std::string> licences;
    for (std::size_t i = 0; i < count; ++i)
        licences.push_back("L" + std::to_string(i));
    auto service = makeService("slots", licences, m_settings.slots, milliseconds(3000));
    service.queueLimit = m_settings.slots * 2;
    m_configuration = makeConfiguration({ service });
    membership_table members;
    m_vms.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto& made = m_vms[i];
        made.zone = i % m_settings.zones;
        auto const position
            = static_cast<double>(i / m_settings.zones) / std::max<double>(1, m_settings.vmsPerZone - 1.0);
        made.speed = m_settings.slowest + (m_settings.fastest - m_settings.slowest) * position;
        auto const id = std::to_string(i);
        auto const zone = "z" + std::to_string(made.zone);
        target_announcement announcement { "t" + id, "slots", "L" + id, "127.0.0.1:9000", target_state::Ready };
        announcement.startedAt = 1;
        announcement.sequence = 1;
        if (made.targets.announce(announcement, 0, m_now).isError())
            throw std::invalid_argument("the target was refused");
        made.server = std::make_unique<call_server>(call_server_settings { .instance = i + 1 });
        call_client_settings client;
        client.retriesFailures = true;
        client.maximumAttempts = 6;
        client.hedging = m_settings.hedging;
        client.sharedBudget = shared_budget_settings { 0.2, 56, seconds(10) };
        chooser_settings chooser;
        chooser.zone = zone;
        chooser.policy = choice_policy::ExpectedFinish;
        made.client = std::make_unique<call_client>(client, chooser);
        members.merge(makeMember("vm" + id, zone, i + 1,
            { { "t" + id, "slots", "L" + id, 1, target_state::Ready, m_settings.slots } }, i + 1));
    }
    auto const snapshot = routing_snapshot::build(m_configuration, members);
    for (auto& made : m_vms) {
        made.client->setSnapshot(snapshot, m_now);
        made.client->setDaemons(count);
    }
}

void uneven_fleet::at(time_point when, std::function<void()> action)
{
    m_events.push({ when, ++m_order, std::move(action) });
}

fleet_figures uneven_fleet::run()
{
    for (std::size_t zone = 0; zone < m_settings.zones; ++zone)
        scheduleCall(zone);
    at(m_now, [this] { tick(); });
    // The last calls end after the time for which calls are started.
    auto const until = m_start + m_settings.time + seconds(4);
    while (!m_events.empty() && m_events.top().at <= until) {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    for (auto const& made : m_vms) {
        m_figures.hedges += made.client->totals().hedges;
        m_figures.hedgesWon += made.client->totals().hedgesWon;
    }
    return m_figures;
}

void uneven_fleet::scheduleCall(std::size_t zone)
{
    double const phase = static_cast<double>(zone) / static_cast<double>(m_settings.zones);
    double const turns = secondsOf(m_now - m_start) / secondsOf(m_settings.period) + phase;
    double const rate = m_settings.callsPerSecond / static_cast<double>(m_settings.zones)
        * (1 + m_settings.swing * std::sin(2 * std::numbers::pi * turns));
    double const gap = -std::log(1 - uniformUnit(m_arrivals)) / rate;
    auto const when = m_now + fromSeconds(gap);
    if (when < m_start + m_settings.time)
        at(when, [this, zone] {
            startCall(zone);
            scheduleCall(zone);
        });
}

void uneven_fleet::startCall(std::size_t zone)
{
    auto const origin = zone + m_settings.zones * uniformBelow(m_arrivals, m_settings.vmsPerZone);
    double drawn = uniformUnit(m_arrivals);
    std::size_t kind = 0;
    while (kind + 1 < m_settings.kinds.size() && drawn >= m_settings.kinds[kind].share)
        drawn -= m_settings.kinds[kind++].share;
    caller_request request { .id = "call" + std::to_string(++m_lastCall), .service = "slots" };
    request.method = "GET";
    request.path = "/slots/" + std::to_string(m_lastCall);
    request.body = std::string(requestBytes, 'x');
    request.policy = m_settings.kinds[kind].policy;
    m_open[request.id] = { m_now, kind };
    ++m_figures.calls;
    applyClient(origin, m_vms[origin].client->start(std::move(request), m_now, m_random));
}

void uneven_fleet::tick()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        applyServer(i, m_vms[i].server->tick(m_now));
        applyClient(i, m_vms[i].client->tick(m_now, m_random));
    }
    at(m_now + tickPeriod, [this] { tick(); });
}

void uneven_fleet::send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> deliver)
{
    bool const isFar = m_vms[from].zone != m_vms[to].zone;
    if (isFar)
        m_figures.zoneBytes += bytes + frameBytes;
    at(m_now + (isFar ? duration(farDelay) : duration(zoneDelay)), std::move(deliver));
}

void uneven_fleet::applyClient(std::size_t client, std::vector<client_action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* dispatch = std::get_if<dispatch_call>(&action)) {
            auto const server = std::stoul(dispatch->address.substr(2));
            auto call = dispatch->call;
            call.generation = 1;
            m_vms[client].client->didSend(call.id, dispatch->address, 1, m_now);
            send(client, server, call.body.size(), [=, this] {
                auto& owner = m_vms[server];
                applyServer(server,
                    owner.server->didReceiveCall({ client + 1, 1 }, call, owner.targets, *m_configuration, m_now));
            });
        } else if (auto const* message = std::get_if<send_to_target>(&action)) {
            auto const server = std::stoul(message->address.substr(2));
            if (auto const* cancel = std::get_if<call_cancel>(&message->content))
                send(client, server, 0, [=, this, content = *cancel] {
                    applyServer(server, m_vms[server].server->didReceiveCancel({ client + 1, 1 }, content, m_now));
                });
            else if (auto const* acknowledged = std::get_if<call_acknowledge>(&message->content))
                m_vms[server].server->didReceiveAcknowledge({ client + 1, 1 }, *acknowledged);
        } else if (auto const* completed = std::get_if<complete_call>(&action))
            finish(client, *completed);
    }
}

void uneven_fleet::applyServer(std::size_t server, std::vector<server_action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* run = std::get_if<run_call>(&action))
            startRun(server, *run);
        else if (auto const* reply = std::get_if<reply_to_origin>(&action)) {
            auto const client = static_cast<std::size_t>(reply->instance - 1);
            bool const isAnswer = std::holds_alternative<call_answer>(reply->content);
            send(server, client, isAnswer ? answerBytes : 0, [=, this, content = reply->content] {
                applyClient(
                    client, m_vms[client].client->didReceive("vm" + std::to_string(server), content, m_now, m_random));
            });
        } else if (auto const* abort = std::get_if<abort_call>(&action)) {
            auto const found = m_vms[server].runs.find(abort->id);
            if (found != m_vms[server].runs.end())
                at(m_now, [=, this, id = abort->id, number = found->second] { endRun(server, id, number, false); });
        }
    }
}

void uneven_fleet::startRun(std::size_t server, run_call const& run)
{
    auto const id = run.call.id;
    auto const number = ++m_lastRun;
    m_vms[server].runs[id] = number;
    auto& open = m_open[id];
    auto const& kind = m_settings.kinds[open.kind];
    m_figures.mostRuns = std::max(m_figures.mostRuns, ++open.runs);
    if (!kind.policy.isIdempotent)
        m_figures.mostNonIdempotentRuns = std::max(m_figures.mostNonIdempotentRuns, open.runs);
    ++m_figures.runsByTarget[run.call.target];
    auto const timeout = m_now + run.timeout;
    generator chance(hash64(id, m_settings.seed + static_cast<std::uint64_t>(open.runs)));
    double factor = (0.5 + uniformUnit(chance)) / m_vms[server].speed;
    if (uniformUnit(chance) < m_settings.longWorkShare)
        factor *= m_settings.longWorkFactor;
    auto const end = endOfWork(server, fromSeconds(secondsOf(kind.work) * factor));
    bool const isAnswered = uniformUnit(chance) >= m_settings.muteShare && end <= timeout;
    at(isAnswered ? end : timeout, [=, this] { endRun(server, id, number, isAnswered); });
}

void uneven_fleet::endRun(std::size_t server, std::string const& id, std::uint64_t number, bool isAnswered)
{
    auto& owner = m_vms[server];
    auto const found = owner.runs.find(id);
    if (found == owner.runs.end() || found->second != number)
        return;
    owner.runs.erase(found);
    if (!isAnswered) {
        applyServer(server, owner.server->didLose(id, m_now));
        return;
    }
    if (m_settings.announcesPace)
        owner.server->didAnnouncePace(
            "t" + std::to_string(server), static_cast<std::uint32_t>(std::lround(100 * paceAt(server, m_now))), m_now);
    call_answer answer;
    answer.status = 200;
    answer.body = std::string(answerBytes, 'y');
    applyServer(server, owner.server->didFinish(id, std::move(answer), m_now));
}

void uneven_fleet::finish(std::size_t client, complete_call const& completed)
{
    auto const& open = m_open.at(completed.id);
    bool isFar = false;
    if (auto const* answered = std::get_if<call_answered>(&completed.outcome)) {
        bool const isInTime = m_now - open.startedAt <= m_settings.kinds[open.kind].policy.latencyObjective;
        ++(isInTime ? m_figures.inTime : m_figures.late);
        if (!isInTime)
            ++m_figures.lateByTarget[answered->target];
        isFar = m_vms[std::stoul(answered->target.substr(1))].zone != m_vms[client].zone;
    } else if (auto const* unknown = std::get_if<call_outcome_unknown>(&completed.outcome)) {
        ++(unknown->cause == unknown_cause::Deadline ? m_figures.outOfTime : m_figures.lost);
        m_figures.idempotentUnknown += m_settings.kinds[open.kind].policy.isIdempotent;
    } else
        ++m_figures.notRun;
    auto& [far, all] = m_figures.farAndAll[{ (m_now - m_start) / figuresPeriod, m_vms[client].zone }];
    far += isFar;
    ++all;
}

double uneven_fleet::paceAt(std::size_t vm, time_point time) const
{
    // Each VM's phases begin at an offset of its own.
    auto const offset = m_settings.slowTime * static_cast<std::int64_t>(vm) / static_cast<std::int64_t>(m_vms.size());
    auto const phase = (time.time_since_epoch() + offset) / m_settings.slowTime;
    auto const drawn
        = hash64("pace" + std::to_string(vm), m_settings.seed * 1000003 + static_cast<std::uint64_t>(phase));
    return static_cast<double>(drawn % 1000) < 1000 * m_settings.slowShare ? m_settings.slowFactor : 1;
}

time_point uneven_fleet::endOfWork(std::size_t vm, duration work) const
{
    constexpr milliseconds step { 5 };
    auto end = m_now;
    while (work > duration::zero()) {
        work -= fromSeconds(secondsOf(step) / paceAt(vm, end));
        end += step;
    }
    return end;
}

} // namespace merlinpier::fixture
