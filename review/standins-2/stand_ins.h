// Stand-ins for the cases in review/6 and later: the platform's store, a worker and a client, each of them threads of
// one test program, and the daemons, which are processes of their own. Everything uses addresses of one loopback
// network of 256 addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace stand_ins {

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void pauseFor(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// Writes one line for each event to record.txt, with the time in seconds since the start.
class recorder {
public:
    explicit recorder(std::string const& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    double now() const { return std::chrono::duration<double>(clock_type::now() - m_start).count(); }
    void line(char const* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard const guard(m_lock);
        std::fprintf(m_file, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    clock_type::time_point m_start = clock_type::now();
    std::mutex m_lock;
};

struct message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool hasLength { true };

    std::optional<std::string> header(char const* name) const
    {
        for (auto const& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return std::nullopt;
    }
    std::string word(int index) const
    {
        std::istringstream words(startLine);
        std::string text;
        for (int i = 0; i <= index; ++i)
            words >> text;
        return text;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

inline sockaddr_in socketAddress(std::string const& address)
{
    auto const colon = address.rfind(':');
    sockaddr_in result {};
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return result;
}

// One TCP connection that carries HTTP/1.1.
class connection {
public:
    explicit connection(int socket = -1)
        : m_socket(socket)
    {
    }
    connection(connection&& other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    connection& operator=(connection&& other) noexcept
    {
        std::swap(m_socket, other.m_socket);
        std::swap(m_buffer, other.m_buffer);
        return *this;
    }
    ~connection() { close(); }

    static connection open(std::string const& address, int timeoutMs = 1000)
    {
        int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const flags = fcntl(socket, F_GETFL);
        fcntl(socket, F_SETFL, flags | O_NONBLOCK);
        auto const to = socketAddress(address);
        if (::connect(socket, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0) {
            pollfd wait { socket, POLLOUT, 0 };
            int failure = 0;
            socklen_t size = sizeof failure;
            if (errno != EINPROGRESS || poll(&wait, 1, timeoutMs) != 1
                || getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
                ::close(socket);
                return connection();
            }
        }
        fcntl(socket, F_SETFL, flags);
        int const on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return connection(socket);
    }

    bool isOpen() const { return m_socket >= 0; }
    int socket() const { return m_socket; }
    // The IP number of the other side.
    std::string peer() const
    {
        sockaddr_in from {};
        socklen_t size = sizeof from;
        char text[INET_ADDRSTRLEN] = "";
        if (getpeername(m_socket, reinterpret_cast<sockaddr*>(&from), &size) == 0)
            inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
        return text;
    }
    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }
    // Closes with a reset.
    void reset()
    {
        linger const now { 1, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    bool send(std::string const& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto const count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Whether the other side has closed the connection.
    bool hasEnded(int waitMs)
    {
        pollfd wait { m_socket, POLLRDHUP, 0 };
        return poll(&wait, 1, waitMs) > 0 && (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    enum class outcome { Whole, Closed, TimedOut };
    // Reads one message, a body included. A response without a length ends with the connection.
    outcome read(message& into, int timeoutMs)
    {
        auto const until = clock_type::now() + milliseconds(timeoutMs);
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (auto const got = fill(until); got != outcome::Whole)
                return got;
        }
        into = message();
        std::istringstream lines(m_buffer.substr(0, end));
        std::string line;
        std::getline(lines, line);
        into.startLine = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            auto const colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto const value = line.find_first_not_of(' ', colon + 1);
            into.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
        m_buffer.erase(0, end + 4);
        auto const length = into.header("Content-Length");
        into.hasLength = length.has_value();
        std::size_t const size = length ? std::strtoull(length->c_str(), nullptr, 10) : 0;
        while (m_buffer.size() < size) {
            if (auto const got = fill(until); got != outcome::Whole)
                return got;
        }
        into.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return outcome::Whole;
    }

private:
    outcome fill(clock_type::time_point until)
    {
        auto const left = std::chrono::duration_cast<milliseconds>(until - clock_type::now()).count();
        pollfd wait { m_socket, POLLIN, 0 };
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0)
            return outcome::TimedOut;
        static thread_local std::vector<char> bytes(256 * 1024);
        auto const count = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return outcome::Closed;
        m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
        return outcome::Whole;
    }

    int m_socket;
    std::string m_buffer;
};

// Accepts connections and serves each on a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;
    // Ends the program with code 2 if the address is taken.
    void start(std::string const& address, handler serve)
    {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto const at = socketAddress(address);
        if (bind(m_socket, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 || listen(m_socket, 1024) != 0) {
            std::fprintf(stderr, "cannot listen on %s\n", address.c_str());
            std::_Exit(2);
        }
        std::thread([this, serve = std::move(serve)] {
            while (true) {
                int const accepted = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                int const enabled = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
                std::thread([serve, accepted] {
                    connection client(accepted);
                    serve(client);
                }).detach();
            }
        }).detach();
    }
    void stop()
    {
        if (m_socket >= 0)
            ::shutdown(std::exchange(m_socket, -1), SHUT_RDWR);
    }

private:
    int m_socket { -1 };
};

inline std::string response(int status, std::vector<std::pair<std::string, std::string>> const& headers,
    std::string const& body, bool closes = false)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + (closes ? "Connection: close\r\n\r\n" : "\r\n") + body;
}

// The platform's store: objects with revisions, lists, watches and conditional writes.
class store {
public:
    store(std::string address, recorder& record)
        : m_address(std::move(address))
        , m_record(record)
    {
        m_server.start(m_address, [this](connection& client) { serve(client); });
    }
    std::string const& address() const { return m_address; }

    // Turns these callers away with 503, which means that nothing was done; their waiting watches end.
    void turnAway(std::set<std::string> callers)
    {
        {
            std::lock_guard const guard(m_lock);
            m_turnedAway = std::move(callers);
        }
        m_changed.notify_all();
    }
    void writeConfiguration(json const& spec)
    {
        {
            std::lock_guard const guard(m_lock);
            put("config/main", spec, json::array());
        }
        m_changed.notify_all();
        m_record.line("operator wrote version %s", spec.at("version").get<std::string>().c_str());
    }

private:
    struct change {
        std::uint64_t revision;
        std::string key;
        json object;
        bool isDeleted;
    };

    json& put(std::string const& key, json const& spec, json const& finalizers)
    {
        auto const known = m_objects.find(key);
        auto const created
            = known == m_objects.end() ? m_revision + 1 : known->second["metadata"]["created_rev"].get<std::uint64_t>();
        ++m_revision;
        auto& object = m_objects[key];
        object = { { "metadata",
                       { { "name", key.substr(key.find('/') + 1) }, { "revision", m_revision },
                           { "created_rev", created }, { "finalizers", finalizers }, { "deleting", false } } },
            { "spec", spec }, { "status", nullptr } };
        m_changes.push_back({ m_revision, key, object, false });
        return object;
    }

    static std::map<std::string, std::string> queryOf(std::string const& target)
    {
        std::map<std::string, std::string> query;
        auto const mark = target.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            auto const equals = part.find('=');
            query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        }
        return query;
    }

    void serve(connection& client)
    {
        message request;
        auto const caller = client.peer();
        while (client.read(request, 60'000) == connection::outcome::Whole) {
            auto [status, body] = answer(request, caller);
            if (isTurnedAway(caller)) {
                status = 503;
                body = json::object();
            }
            if (!client.send(
                    response(status, { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, body.dump())))
                return;
        }
    }

    bool isTurnedAway(std::string const& caller)
    {
        std::lock_guard const guard(m_lock);
        return m_turnedAway.count(caller) > 0;
    }

    std::pair<int, json> answer(message const& request, std::string const& caller)
    {
        auto const method = request.word(0);
        auto const target = request.word(1);
        std::string const prefix = "/v1/objects/";
        auto const path = target.substr(0, target.find('?'));
        if (path.rfind(prefix, 0) != 0)
            return { 404, json::object() };
        auto key = path.substr(prefix.size());
        auto query = queryOf(target);
        bool const isList = key.find('/') == std::string::npos;
        std::unique_lock guard(m_lock);
        if (m_turnedAway.count(caller) > 0)
            return { 503, json::object() };
        if (method == "GET" && query.count("watch") > 0) {
            auto const after = std::strtoull(query["watch"].c_str(), nullptr, 10);
            auto const wait = std::chrono::milliseconds(std::atoi(query["wait_ms"].c_str()));
            auto const matches = [&](change const& candidate) {
                bool const fits = isList ? candidate.key.rfind(key + "/", 0) == 0 : candidate.key == key;
                return fits && candidate.revision > after;
            };
            m_changed.wait_for(guard, wait, [&] {
                return m_turnedAway.count(caller) > 0 || std::any_of(m_changes.begin(), m_changes.end(), matches);
            });
            json events = json::array();
            for (auto const& candidate : m_changes) {
                if (matches(candidate))
                    events.push_back({ { "object", candidate.object }, { "deleted", candidate.isDeleted } });
            }
            return { 200, { { "events", events }, { "current_rev", m_revision } } };
        }
        if (method == "GET" && isList) {
            json items = json::array();
            for (auto const& [name, object] : m_objects) {
                if (name.rfind(key + "/", 0) == 0)
                    items.push_back(object);
            }
            return { 200, { { "items", items }, { "has_more", false }, { "current_rev", m_revision } } };
        }
        if (method == "GET") {
            auto const found = m_objects.find(key);
            return found == m_objects.end() ? std::pair(404, json { { "current_rev", m_revision } })
                                            : std::pair(200, found->second);
        }
        auto const body = request.body.empty() ? json::object() : json::parse(request.body);
        auto const meta = body.value("metadata", json::object());
        if (method == "POST")
            key += "/" + meta.value("name", "");
        auto const found = m_objects.find(key);
        bool const exists = found != m_objects.end();
        std::optional<std::uint64_t> expected;
        if (meta.contains("revision"))
            expected = meta["revision"].get<std::uint64_t>();
        if (query.count("revision") > 0)
            expected = std::strtoull(query["revision"].c_str(), nullptr, 10);
        if (method == "POST" && exists)
            return { 409, found->second };
        if (method != "POST" && !exists)
            return { 404, json::object() };
        if (exists && expected && found->second["metadata"]["revision"].get<std::uint64_t>() != *expected)
            return { 409, found->second };
        json result;
        if (method == "DELETE") {
            result = found->second;
            m_changes.push_back({ ++m_revision, key, result, true });
            m_objects.erase(found);
        } else if (method == "PUT" && exists && found->second["spec"] == body.value("spec", json()))
            result = found->second;
        else
            result = put(key, body.value("spec", json()), meta.value("finalizers", json::array()));
        guard.unlock();
        m_changed.notify_all();
        return { method == "POST" ? 201 : 200, result };
    }

    std::string m_address;
    recorder& m_record;
    std::set<std::string> m_turnedAway;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, json> m_objects;
    std::vector<change> m_changes;
    std::uint64_t m_revision { 100 };
    server m_server;
};

inline std::uint64_t hashOf(std::string const& text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (unsigned char const character : text)
        hash = (hash ^ character) * 1099511628211ULL;
    return hash;
}

inline std::string signatureOf(std::string const& attempt, int status, std::string const& body)
{
    char text[64];
    std::snprintf(text, sizeof text, "%016llx",
        static_cast<unsigned long long>(hashOf(attempt + "|" + std::to_string(status) + "|" + body)));
    return text;
}

// One machine of the deployment: the addresses of its daemon and of its worker.
struct machine {
    std::string ip;
    std::string zone;
    std::string service;
    int memoryMb { 260 };

    std::string inbound() const { return ip + ":8300"; }
    std::string worker() const { return ip + ":8301"; }
    std::string ready() const { return ip + ":8302"; }
    std::string outbound() const { return ip + ":8304"; }
    std::string control() const { return ip + ":8306"; }
};

// A worker: says that it is ready to the daemon of its machine, and runs requests. A run ends early if its connection
// is closed.
class worker {
public:
    struct run {
        std::string attempt;
        std::string path;
        std::string instance;
        double at;
        std::size_t bodyBytes;
    };

    worker(machine where, std::string id, int slots, recorder& record)
        : m_machine(std::move(where))
        , m_id(std::move(id))
        , m_slots(slots)
        , m_record(record)
        , m_born(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
    {
        m_server.start(m_machine.worker(), [this](connection& client) { serve(client); });
        std::thread([this] { report(); }).detach();
    }

    // How long a request takes, in milliseconds, and the size of its answer.
    std::function<int(message const&)> work = [](message const&) {
        return 60;
    };
    std::function<std::size_t(message const&)> answerBytes = [](message const&) {
        return 400;
    };

    std::vector<run> runs()
    {
        std::lock_guard const guard(m_lock);
        return m_runs;
    }
    std::string const& id() const { return m_id; }
    // The worker makes no check-ins of its own any more.
    void stopReporting() { m_isReporting = false; }
    // What the worker says of itself next, with the next sequence.
    std::string nextReport()
    {
        json const beat { { "address", m_machine.worker() }, { "born", m_born },
            { "info",
                { { "service", m_machine.service }, { "version", "v1" }, { "zone", m_machine.zone },
                    { "slots", m_slots } } },
            { "status", { { "state", "ready" }, { "sequence", ++m_sequence }, { "cold_left_ms", 0 } } } };
        return beat.dump();
    }
    // Calls the daemon of the own machine; returns whether it acknowledged within a second.
    bool callControl(std::string const& call, std::string const& body)
    {
        auto to = connection::open(m_machine.control(), 500);
        message ack;
        return to.isOpen()
            && to.send("POST /v1/Instances." + call + "/" + m_id + " HTTP/1.1\r\nHost: control\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body)
            && to.read(ack, 1000) == connection::outcome::Whole && ack.status() == 200;
    }

private:
    void report()
    {
        while (m_isReporting)
            pauseFor(callControl("Heartbeat", nextReport()) ? 1500 : 250);
    }

    void serve(connection& client)
    {
        message request;
        while (client.read(request, 10'000) == connection::outcome::Whole) {
            auto const attempt = request.header("Attempt-Id").value_or("");
            if (request.header("Expected-Instance").value_or(m_id) != m_id) {
                client.send(response(421, { { "Instance-Id", m_id } }, ""));
                continue;
            }
            if (m_running.fetch_add(1) >= m_slots + 24) {
                --m_running;
                client.send(response(503, { { "Not-Executed", "1" }, { "Attempt-Id", attempt } }, ""));
                continue;
            }
            {
                std::lock_guard const guard(m_lock);
                m_runs.push_back({ attempt, request.word(1), m_id, m_record.now(), request.body.size() });
            }
            m_record.line("worker %s runs %s %s (%zu bytes)", m_id.c_str(), attempt.c_str(), request.word(1).c_str(),
                request.body.size());
            bool const isDropped = client.hasEnded(work(request));
            --m_running;
            if (isDropped) {
                m_record.line("worker %s drops %s, its connection was closed", m_id.c_str(), attempt.c_str());
                return;
            }
            std::string const body(answerBytes(request), 'a');
            client.send(response(200,
                { { "Attempt-Id", attempt }, { "Response-Signature", signatureOf(attempt, 200, body) },
                    { "Server-Load", std::to_string(m_running.load()) + ",0," + std::to_string(m_slots) } },
                body));
        }
    }

    machine m_machine;
    std::string m_id;
    int m_slots;
    recorder& m_record;
    std::uint64_t m_born;
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::atomic<bool> m_isReporting { true };
    std::atomic<int> m_running { 0 };
    std::mutex m_lock;
    std::vector<run> m_runs;
    server m_server;
};

// Starts, signals and ends the daemons, as the platform does.
class platform {
public:
    platform(std::string root, std::string folder, std::string storeAddress, recorder& record)
        : m_root(std::move(root))
        , m_folder(std::move(folder))
        , m_store(std::move(storeAddress))
        , m_record(record)
    {
        std::ifstream deploy(m_root + "/deploy/system.toml");
        for (std::string line; std::getline(deploy, line);) {
            if (line.rfind("run = \"", 0) == 0)
                m_command = line.substr(7, line.rfind('"') - 7);
        }
    }
    ~platform() { endAll(); }

    void start(machine const& where, bool isFirst)
    {
        auto const settingsPath = m_folder + "/" + where.ip + ".json";
        json const settings { { "node", "sidecar-" + where.ip }, { "role", "daemon" }, { "machine_class", "sidecar" },
            { "serves", { "sidecar" } }, { "ip", where.ip }, { "zone", where.zone }, { "region", "r" },
            { "listen",
                { { "inbound", where.inbound() }, { "outbound", where.outbound() }, { "ready_address", where.ready() },
                    { "control", where.control() } } },
            { "port_range", { 7620, 7635 } }, { "seeds", json::array() }, { "first_start", isFirst },
            { "loss_counted", false },
            { "limits",
                { { "cpu_share", 0.2 }, { "cores", 1 }, { "memory_mb", where.memoryMb }, { "max_fds", 4100 },
                    { "link_mbps", 1000.0 }, { "disk_mb", 0 } } },
            { "data_dir", nullptr }, { "discovery", "static" }, { "entry", "static" }, { "beat_interval_ms", 1500 },
            { "contracts", { "base", "drain", "config", "cost", "retry", "recover", "platform" } },
            { "fault_tolerance", { { "machines", 2 }, { "zones", 1 }, { "regions", 0 } } },
            { "bounds",
                { "seed_lag_s=3", "reuse_after_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4",
                    "drain_ms=2000", "grace_s=6", "loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250",
                    "max_stretch_ms=5000", "retry_budget_ratio=0.2", "budget_window_s=10", "budget_min_retries=56",
                    "recover_s=15" } },
            { "app_addr", where.worker() }, { "service", where.service },
            { "platform",
                { { "address", m_store }, { "form", "objects" }, { "writes_per_s", 400 }, { "reads_per_s", 2000 },
                    { "history_s", 20 }, { "value_bytes", 1048576 }, { "ttl_min_ms", 1000 } } } };
        std::ofstream(settingsPath) << settings.dump(1);
        std::vector<std::string> words;
        std::istringstream command(m_command);
        for (std::string word; command >> word;)
            words.push_back(word);
        words.front() = m_root + "/" + words.front();
        std::string const variable = "MERLINPIER_CONFIG=" + settingsPath;
        auto const log = m_folder + "/" + where.ip + ".log";
        pid_t const parent = getpid();
        pid_t const child = fork();
        if (child == 0) {
            // The daemon ends with the test program, however that ends.
            prctlEndWithParent(parent);
            int const out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            if (chdir(m_root.c_str()) != 0)
                _exit(2);
            std::vector<char*> arguments;
            for (auto& word : words)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            char const* const environment[] = { variable.c_str(), nullptr };
            execve(arguments[0], arguments.data(), const_cast<char**>(environment));
            _exit(2);
        }
        std::lock_guard const guard(m_lock);
        m_processes[where.ip] = child;
        m_record.line("platform started the daemon of %s as process %d", where.ip.c_str(), child);
    }

    pid_t process(machine const& where)
    {
        std::lock_guard const guard(m_lock);
        auto const found = m_processes.find(where.ip);
        return found == m_processes.end() ? 0 : found->second;
    }
    void signal(machine const& where, int number)
    {
        m_record.line("platform sent signal %d to the daemon of %s", number, where.ip.c_str());
        if (auto const child = process(where); child > 0)
            ::kill(child, number);
    }
    // Waits for the end of the process; returns whether it ended in time.
    bool waitForEnd(machine const& where, int timeoutMs)
    {
        auto const until = clock_type::now() + milliseconds(timeoutMs);
        auto const child = process(where);
        while (clock_type::now() < until) {
            if (child <= 0 || waitpid(child, nullptr, WNOHANG) == child) {
                std::lock_guard const guard(m_lock);
                m_processes.erase(where.ip);
                m_record.line("the daemon of %s has ended", where.ip.c_str());
                return true;
            }
            pauseFor(5);
        }
        return false;
    }
    // Memory of the process that is its own, in megabytes: without program files and shared libraries.
    static double memoryMb(pid_t process)
    {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("RssAnon:", 0) == 0)
                return std::atof(line.c_str() + 8) / 1024;
        }
        return 0;
    }
    bool waitUntilReady(std::vector<machine> const& machines, int timeoutMs)
    {
        auto const until = clock_type::now() + milliseconds(timeoutMs);
        for (auto const& where : machines) {
            while (true) {
                auto to = connection::open(where.ready(), 500);
                message answer;
                if (to.isOpen() && to.send("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                    && to.read(answer, 500) == connection::outcome::Whole && answer.status() == 200)
                    break;
                if (clock_type::now() > until)
                    return false;
                pauseFor(50);
            }
        }
        return true;
    }
    void endAll()
    {
        std::lock_guard const guard(m_lock);
        for (auto const& [ip, child] : m_processes)
            ::kill(child, SIGKILL);
        for (auto const& [ip, child] : m_processes)
            waitpid(child, nullptr, 0);
        m_processes.clear();
    }

private:
    static void prctlEndWithParent(pid_t parent);

    std::string m_root;
    std::string m_folder;
    std::string m_store;
    std::string m_command;
    recorder& m_record;
    std::mutex m_lock;
    std::map<std::string, pid_t> m_processes;
};

// A loopback network of this process: 127.A.B.x. The metrics of all daemons are on one port, so addresses differ.
inline std::string network()
{
    auto const number = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + (number >> 8) % 128) + "." + std::to_string(number % 256) + ".";
}

inline json route(std::string const& name, std::string const& prefix, std::string const& kind,
    std::string const& service, int timeoutMs, int latencyMs = 400, int attempts = 2)
{
    return { { "name", name }, { "host", "mesh.example" }, { "path_prefix", prefix }, { "kind", kind },
        { "timeout_ms", timeoutMs }, { "target_latency_ms", latencyMs }, { "priority", 1 }, { "service", service },
        { "max_attempts", attempts } };
}

inline json configuration(
    std::string const& version, std::vector<json> const& routes, std::vector<std::string> const& services)
{
    json listed = json::array();
    for (auto const& name : services)
        listed.push_back({ { "name", name }, { "health_path", "/health" }, { "max_connections", 110 },
            { "protocol", "h1" }, { "tls", false } });
    return { { "version", version }, { "routes", routes }, { "services", listed },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 67108864 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

inline std::string request(std::string const& method, std::string const& path, std::string const& attempt,
    int deadlineMs, std::string const& body = "")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: mesh.example\r\nAttempt-Id: " + attempt
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace stand_ins

#include <sys/prctl.h>

inline void stand_ins::platform::prctlEndWithParent(pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(2);
}
