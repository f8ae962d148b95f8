#include <Tests/LibCalls/call_simulation.h>

namespace merlinpier::fixture {

namespace {

constexpr milliseconds tickPeriod { 5 };
constexpr milliseconds faultInjectionPeriod { 10 };
constexpr milliseconds maximumExtraDelay { 1000 };
constexpr milliseconds silenceDetectionTime { 30 };
constexpr milliseconds publicationDelay { 50 };
constexpr milliseconds targetCheckTime { 1 };

} // namespace

call_simulation::call_simulation(simulation_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    std::vector<std::string> licences;
    for (std::size_t i = 0; i < settings.targets; ++i)
        licences.push_back("L" + std::to_string(i));
    m_configuration = makeConfiguration({ makeService("slots", licences, settings.slots, settings.deadline) });
    m_servers.resize(settings.targets);
    m_reports.resize(std::max(settings.targets, settings.clients));
    for (auto& daemon : m_reports)
        daemon.decisions = std::make_shared<crashing_requests>();
    for (std::size_t i = 0; i < settings.targets; ++i) {
        announceTarget(i);
        restartServer(i);
    }
    for (std::size_t i = 0; i < settings.clients; ++i) {
        call_client_settings clientSettings;
        clientSettings.retries = settings.retries;
        clientSettings.sharedBudget = settings.sharedBudget;
        clientSettings.hedging = settings.hedging;
        m_clients.push_back({ std::make_unique<call_client>(
                                  clientSettings, chooser_settings { "a", settings.choice }, m_reports[i].decisions),
            ++m_lastInstance, {} });
    }
    publish();
    at(m_now, [this] { tick(); });
    at(m_now, [this] { injectFaults(); });
}

void call_simulation::at(time_point when, std::function<void()> action)
{
    m_events.push({ when, ++m_order, std::move(action) });
}

void call_simulation::run(time_point until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_now = until;
}

void call_simulation::startCall(std::size_t client, caller_request request, bool isIdempotent)
{
    m_clients[client].open[request.id].push_back(m_history.size());
    m_history.push_back({ request, isIdempotent, m_now, {}, {} });
    apply(client, m_clients[client].decisions->start(std::move(request), m_now, m_random));
}

duration call_simulation::frameDelay()
{
    if (happens(m_settings.faults.late))
        return milliseconds(uniformBelow(m_random, maximumExtraDelay.count()));
    // Jitter reorders frames of one link.
    return m_settings.latency + microseconds(uniformBelow(m_random, m_settings.latency.count() / 2));
}

void call_simulation::announceTarget(std::size_t server)
{
    auto& node = m_servers[server];
    auto const id = std::to_string(server);
    target_announcement announcement { "t" + id, "slots", "L" + id, "127.0.0.1:9000", target_state::Ready };
    announcement.startedAt = node.startedAt;
    announcement.sequence = 1;
    auto const announced = node.targets.announce(announcement, 0, m_now);
    if (announced.isError())
        throw std::invalid_argument(announced.failure().text());
}

void call_simulation::crash(std::size_t target)
{
    auto& node = m_servers[target];
    node.isDown = true;
    node.working = 0;
    for (auto const& [id, run] : std::exchange(node.runs, {}))
        applyServer(target, node.decisions->didBreakOff(id));
    at(m_now + m_settings.downAfterCrash, [=, this] {
        auto& returned = m_servers[target];
        returned.isDown = false;
        ++returned.startedAt;
        announceTarget(target);
    });
}

void call_simulation::restartServer(std::size_t index)
{
    auto& node = m_servers[index];
    node.instance = ++m_lastInstance;
    call_server_settings settings;
    settings.instance = node.instance;
    settings.admission = m_settings.admission;
    m_reports[index].decisions = std::make_shared<crashing_requests>();
    m_reports[index].revision = 0;
    node.decisions = std::make_unique<call_server>(settings, m_reports[index].decisions);
    // Only the daemon restarts: runs at its targets continue, but their ends are not reported.
    node.runs.clear();
    node.working = 0;
    m_members.merge(makeMember("vm" + std::to_string(index), "a", node.instance,
        { { "t" + std::to_string(index), "slots", "L" + std::to_string(index), 1, target_state::Ready,
            m_settings.slots } },
        node.instance));
}

void call_simulation::restart(std::size_t target)
{
    restartServer(target);
    for (std::size_t client = 0; client < m_clients.size(); ++client)
        silence(client, target);
    at(m_now + publicationDelay, [=, this] {
        publish();
        learnFormerLimit(target);
        learnReports(target);
    });
}

void call_simulation::learnFormerLimit(std::size_t server)
{
    auto& node = m_servers[server];
    auto const id = "t" + std::to_string(server);
    applyServer(server, node.decisions->setRequestLimit(id, node.targets.requestLimit(id), m_now));
}

// The target has answered a call that was sent to it at the given time.
void call_simulation::nameLimit(std::size_t server, time_point sentAt)
{
    auto& node = m_servers[server];
    auto const id = "t" + std::to_string(server);
    node.targets.setRequestLimit(id, node.namedLimit, sentAt, m_now);
    applyServer(server, node.decisions->setRequestLimit(id, node.targets.requestLimit(id), m_now));
}

void call_simulation::publishReports()
{
    for (std::size_t from = 0; from < m_reports.size(); ++from) {
        auto& daemon = m_reports[from];
        if (daemon.decisions->ownRevision() == daemon.revision)
            continue;
        daemon.revision = daemon.decisions->ownRevision();
        daemon.record = daemon.decisions->ownReports();
        for (std::size_t to = 0; to < m_reports.size(); ++to) {
            if (to == from)
                continue;
            auto const delay
                = m_settings.reportDelay / 2 + milliseconds(uniformBelow(m_random, m_settings.reportDelay.count() + 1));
            at(m_now + delay, [=, this, reports = daemon.record] {
                m_reports[to].decisions->learn(reports, crashing_requests::report_origin::Other, m_now);
            });
        }
    }
}

// The daemon has restarted and learns what is published, and from its peers what it has published itself before.
void call_simulation::learnReports(std::size_t daemon)
{
    for (std::size_t other = 0; other < m_reports.size(); ++other) {
        auto const origin
            = other == daemon ? crashing_requests::report_origin::Own : crashing_requests::report_origin::Other;
        m_reports[daemon].decisions->learn(m_reports[other].record, origin, m_now);
    }
}

void call_simulation::publish()
{
    auto const snapshot = routing_snapshot::build(m_configuration, m_members);
    for (auto& node : m_clients)
        node.decisions->setSnapshot(snapshot, m_now);
}

void call_simulation::silence(std::size_t client, std::size_t server)
{
    auto& link = m_links[{ client, server }];
    if (link.isSilent)
        return;
    link.isSilent = true;
    at(m_now + silenceDetectionTime, [=, this] { replaceLink(client, server); });
}

void call_simulation::replaceLink(std::size_t client, std::size_t server)
{
    auto& link = m_links[{ client, server }];
    auto const generation = ++link.generation;
    link.isSilent = false;
    auto& node = m_servers[server];
    link.accepted = generation;
    node.decisions->raiseFence({ m_clients[client].instance, generation }, m_now);
    apply(client,
        m_clients[client].decisions->didBecomeReady(
            "vm" + std::to_string(server), node.instance, generation, m_now, m_random));
}

void call_simulation::injectFaults()
{
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        for (std::size_t client = 0; client < m_clients.size(); ++client) {
            if (happens(m_settings.faults.silence))
                silence(client, server);
        }
        if (!happens(m_settings.faults.restart))
            continue;
        restart(server);
    }
    at(m_now + faultInjectionPeriod, [this] { injectFaults(); });
}

void call_simulation::tick()
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        applyServer(i, m_servers[i].decisions->tick(m_now));
        m_maximumQueued = std::max(m_maximumQueued, m_servers[i].decisions->queued());
    }
    for (std::size_t i = 0; i < m_clients.size(); ++i)
        apply(i, m_clients[i].decisions->tick(m_now, m_random));
    publishReports();
    at(m_now + tickPeriod, [this] { tick(); });
}

void call_simulation::apply(std::size_t client, std::vector<client_action> const& actions)
{
    for (auto const& action : actions) {
        if (auto const* dispatch = std::get_if<dispatch_call>(&action)) {
            auto const server = indexOf(dispatch->address);
            auto call = dispatch->call;
            call.generation = m_links[{ client, server }].generation;
            m_clients[client].decisions->didSend(call.id, dispatch->address, call.generation, m_now);
            sendToServer(client, server, call);
        } else if (auto const* send = std::get_if<send_to_target>(&action)) {
            std::visit(
                [&](auto const& content) { sendToServer(client, indexOf(send->address), content); }, send->content);
        } else if (auto const* completed = std::get_if<complete_call>(&action)) {
            finish(client, *completed);
        }
    }
}

void call_simulation::finish(std::size_t client, complete_call const& completed)
{
    auto const node = m_clients[client].open.extract(completed.id);
    if (node.empty())
        throw std::logic_error("call " + completed.id + " was completed twice");
    for (auto const index : node.mapped()) {
        m_history[index].outcomes.push_back(completed.outcome);
        m_history[index].completedAt = m_now;
        if (m_observer)
            m_observer(call_history(m_history[index]));
    }
}

void call_simulation::sendToServer(std::size_t client, std::size_t server, message content)
{
    auto const generation = m_links[{ client, server }].generation;
    auto const deliver = [=, this] {
        deliverToServer(client, server, generation, content);
    };
    at(m_now + frameDelay(), deliver);
    if (happens(m_settings.faults.duplicate))
        at(m_now + frameDelay(), deliver);
}

void call_simulation::deliverToServer(
    std::size_t client, std::size_t server, std::uint64_t generation, message const& content)
{
    auto const& link = m_links[{ client, server }];
    // Frames in flight on a silent link arrive late or never.
    if (link.isSilent && generation == link.generation) {
        if (happens(500))
            at(m_now + maximumExtraDelay / 4, [=, this] { deliverToServer(client, server, generation, content); });
        return;
    }
    auto& node = m_servers[server];
    call_origin const origin { m_clients[client].instance, generation };
    if (auto const* call = std::get_if<call_request>(&content))
        applyServer(server, node.decisions->didReceiveCall(origin, *call, node.targets, *m_configuration, m_now));
    else if (auto const* cancel = std::get_if<call_cancel>(&content))
        applyServer(server, node.decisions->didReceiveCancel(origin, *cancel, m_now));
    else if (auto const* acknowledge = std::get_if<call_acknowledge>(&content))
        node.decisions->didReceiveAcknowledge(origin, *acknowledge);
    else if (auto const* query = std::get_if<call_query>(&content))
        applyServer(server, node.decisions->didReceiveQuery(origin, *query, m_now));
}

void call_simulation::sendToClient(std::size_t server, std::uint64_t instance, message content)
{
    for (std::size_t client = 0; client < m_clients.size(); ++client) {
        if (m_clients[client].instance != instance)
            continue;
        auto const generation = m_links[{ client, server }].accepted;
        auto const deliver = [=, this] {
            auto const& link = m_links[{ client, server }];
            bool const isDropped = link.isSilent && generation == link.generation;
            if (!isDropped)
                apply(client,
                    m_clients[client].decisions->didReceive("vm" + std::to_string(server), content, m_now, m_random));
        };
        at(m_now + frameDelay(), deliver);
        if (happens(m_settings.faults.duplicate))
            at(m_now + frameDelay(), deliver);
    }
}

void call_simulation::applyServer(std::size_t server, std::vector<server_action> const& actions)
{
    auto& node = m_servers[server];
    for (auto const& action : actions) {
        if (auto const* run = std::get_if<run_call>(&action)) {
            startRun(server, *run);
        } else if (auto const* reply = std::get_if<reply_to_origin>(&action)) {
            sendToClient(server, reply->instance, reply->content);
        } else if (auto const* check = std::get_if<check_target>(&action)) {
            auto const instance = node.instance;
            at(m_now + targetCheckTime, [=, this, id = check->target] {
                auto& owner = m_servers[server];
                auto const condition = owner.isDown ? target_condition::Refusing : target_condition::Accepting;
                if (owner.instance == instance)
                    applyServer(server, owner.decisions->didCheckTarget(id, condition, owner.targets, m_now));
            });
        } else if (auto const* abort = std::get_if<abort_call>(&action)) {
            auto const id = abort->id;
            auto const instance = node.instance;
            // The target stops the run shortly after the abort.
            at(m_now + milliseconds(2), [=, this] {
                auto& owner = m_servers[server];
                if (owner.instance != instance || owner.runs.erase(id) == 0)
                    return;
                --owner.working;
                applyServer(server, owner.decisions->didLose(id, m_now));
            });
        }
    }
}

void call_simulation::startRun(std::size_t server, run_call const& run)
{
    auto& node = m_servers[server];
    auto const id = run.call.id;
    auto const instance = node.instance;
    auto const number = ++m_lastRun;
    node.runs[id] = number;
    ++node.working;
    node.requests.push_back(m_now);
    auto const end = [=, this](duration after, auto report) {
        at(m_now + after, [=, this] {
            auto& owner = m_servers[server];
            auto const found = owner.runs.find(id);
            if (owner.instance != instance || found == owner.runs.end() || found->second != number)
                return;
            owner.runs.erase(found);
            --owner.working;
            applyServer(server, report(*owner.decisions));
        });
    };
    if (m_settings.downTarget == server || node.isDown || happens(m_settings.faults.unreachable))
        return end(milliseconds(1), [=, this](call_server& decisions) {
            return decisions.didRefuse(id, refusal_reason::TargetUnreachable, m_now);
        });
    call_answer answer;
    answer.status = 200;
    if (happens(m_settings.faults.shed))
        return end(milliseconds(1),
            [=, this](call_server& decisions) { return decisions.didRefuse(id, refusal_reason::Overloaded, m_now); });
    ++m_runs[id];
    if (!m_settings.crashingBody.empty() && run.call.body == m_settings.crashingBody) {
        m_crashingRuns.push_back(m_now);
        at(m_now + m_settings.work, [=, this] {
            auto const& owner = m_servers[server];
            auto const found = owner.runs.find(id);
            if (found == owner.runs.end() || found->second != number)
                return;
            m_crashes.push_back(m_now);
            crash(server);
        });
        return;
    }
    bool const isReport = run.call.callClass == call_class::Report;
    auto const mean = std::chrono::duration<double>(isReport ? m_settings.reportWork : m_settings.work);
    // Runs in excess of the slots share the machine: each takes proportionally longer.
    double const crowding = std::max(1.0, static_cast<double>(node.working) / m_settings.slots);
    auto const work = std::chrono::duration_cast<duration>((0.5 + uniformUnit(m_random)) * crowding * mean);
    if (happens(m_settings.faults.lost) || work > run.timeout)
        return end(std::min<duration>(work, run.timeout),
            [=, this](call_server& decisions) { return decisions.didLose(id, m_now); });
    answer.body = "answer to " + run.call.body;
    end(work, [=, this, sentAt = m_now](call_server& decisions) {
        nameLimit(server, sentAt);
        return decisions.didFinish(id, answer, m_now);
    });
}

} // namespace merlinpier::fixture
