// The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, revisions, lists, watches.
// store --listen IP:PORT --config FILE (the "spec" of config/main)
#include "common.h"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using json = nlohmann::json;

namespace {

struct event {
    unsigned long long revision;
    std::string kind;
    std::string name;
    json object;
    bool isDeleted;
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::string, std::map<std::string, json>> objects;
std::deque<event> history;
unsigned long long revision = 1;
unsigned long long forgotten = 0;

void remember(std::string const& kind, std::string const& name, json const& object, bool isDeleted)
{
    history.push_back({ revision, kind, name, object, isDeleted });
    if (history.size() > 5000) {
        forgotten = history.front().revision;
        history.pop_front();
    }
    changed.notify_all();
}

json make(std::string const& name, json const& spec, json const& finalizers)
{
    ++revision;
    return json { { "metadata",
                      { { "name", name }, { "revision", revision }, { "created_rev", revision },
                          { "finalizers", finalizers.is_array() ? finalizers : json::array() },
                          { "deleting", false } } },
        { "spec", spec }, { "status", nullptr } };
}

std::string reply(int status, json const& body)
{
    return response(status, { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, body.dump());
}

std::string watch(std::string const& kind, std::string const& name, std::string const& target)
{
    auto const after = std::strtoull(argument(target, "watch").c_str(), nullptr, 10);
    auto const wait = std::min(30000LL, std::atoll(argument(target, "wait_ms", "0").c_str()));
    auto const until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    std::unique_lock lock(mutex);
    while (true) {
        if (after < forgotten || after > revision)
            return reply(410, { { "current_rev", revision } });
        json events = json::array();
        for (auto const& happened : history) {
            if (happened.revision > after && happened.kind == kind && (name.empty() || happened.name == name))
                events.push_back({ { "object", happened.object }, { "deleted", happened.isDeleted } });
        }
        if (!events.empty() || changed.wait_until(lock, until) == std::cv_status::timeout)
            return reply(200, { { "events", events }, { "current_rev", revision } });
    }
}

std::string handle(message const& request)
{
    static std::string const prefix = "/v1/objects/";
    auto const method = request.word(0);
    auto const target = request.word(1);
    auto const path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0)
        return reply(404, json::object());
    auto rest = path.substr(prefix.size());
    bool const isStatus = rest.size() > 7 && rest.substr(rest.size() - 7) == "/status";
    if (isStatus)
        rest.resize(rest.size() - 7);
    auto const slash = rest.find('/');
    auto const kind = rest.substr(0, slash);
    auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (method == "GET" && !argument(target, "watch").empty())
        return watch(kind, name, target);
    std::lock_guard lock(mutex);
    auto& all = objects[kind];
    if (method == "GET" && name.empty()) {
        json items = json::array();
        auto const after = argument(target, "after");
        for (auto const& [key, object] : all) {
            if (key > after)
                items.push_back(object);
        }
        return reply(200, { { "items", items }, { "has_more", false }, { "current_rev", revision } });
    }
    auto const found = all.find(name);
    if (method == "GET")
        return found == all.end() ? reply(404, { { "current_rev", revision } }) : reply(200, found->second);
    auto const body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return reply(400, json::object());
    auto const meta = body.value("metadata", json::object());
    auto expected = meta.value("revision", 0ULL);
    if (auto const asked = argument(target, "revision"); !asked.empty())
        expected = std::strtoull(asked.c_str(), nullptr, 10);
    if (method == "POST") {
        name = meta.value("name", std::string());
        if (auto const there = all.find(name); there != all.end())
            return reply(409, there->second);
        all[name] = make(name, body.value("spec", json()), meta.value("finalizers", json::array()));
        remember(kind, name, all[name], false);
        return reply(201, all[name]);
    }
    if (found == all.end())
        return reply(404, { { "current_rev", revision } });
    if (expected != 0 && found->second["metadata"]["revision"] != expected)
        return reply(409, found->second);
    if (method == "PUT") {
        char const* const field = isStatus ? "status" : "spec";
        if (found->second[field] != body.value(field, json())) {
            found->second[field] = body.value(field, json());
            found->second["metadata"]["revision"] = ++revision;
            remember(kind, name, found->second, false);
        }
        return reply(200, found->second);
    }
    if (method == "DELETE") {
        auto const removed = found->second;
        all.erase(found);
        ++revision;
        remember(kind, name, removed, true);
        return reply(200, removed);
    }
    return reply(400, json::object());
}

} // namespace

int main(int count, char** words)
{
    options const given(count, words);
    std::ifstream file(given.text("config"));
    auto const spec = json::parse(file, nullptr, false);
    if (!spec.is_object()) {
        std::fprintf(stderr, "the configuration cannot be read\n");
        return 2;
    }
    objects["config"]["main"] = make("main", spec, json::array());
    serve(listenOn(given.text("listen")), [](int socket) {
        reader from(socket);
        message request;
        while (from.next(request)) {
            if (!sendAll(socket, handle(request)))
                return;
        }
    });
}
