#include <LibHttp/http_client.h>

#include <LibCore/mutex.h>
#include <LibHttp/curl_event_loop.h>
#include <LibHttp/curl_transfer.h>
#include <absl/time/time.h>
#include <deque>
#include <thread>
#include <unordered_map>

namespace merlinpier {

namespace {

constexpr std::size_t maximumIdleHandles = 256;
constexpr long maximumIdleConnections = 1024;

void initializeCurlOnce()
{
    static CURLcode const initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialized);
}

class curl_client final : public http_client {
public:
    curl_client()
        : m_multi(curl_multi_init())
        , m_loop(std::make_unique<curl_event_loop>(m_multi))
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maximumIdleConnections);
        m_thread = std::thread([this] { run(); });
    }

    ~curl_client() override
    {
        {
            mutex_lock lock(m_mutex);
            m_isStopping = true;
        }
        m_loop->wake();
        m_thread.join();
        m_loop.reset();
        curl_multi_cleanup(m_multi);
    }

    http_exchange_id send(http_client_request request, http_callback callback) override
    {
        http_exchange_id id = 0;
        {
            mutex_lock lock(m_mutex);
            id = m_nextId++;
            m_commands.push_back({ id, std::move(request), std::move(callback) });
        }
        m_loop->wake();
        return id;
    }

    void cancel(http_exchange_id id) override
    {
        {
            mutex_lock lock(m_mutex);
            m_commands.push_back({ id, {}, nullptr });
        }
        m_loop->wake();
    }

private:
    // A request to start, or, without a callback, the id of one to cancel.
    struct command {
        http_exchange_id id { 0 };
        http_client_request request;
        http_callback callback;
    };

    void run()
    {
        while (executeCommands()) {
            m_loop->runOnce();
            collectFinished();
        }
        while (!m_transfers.empty())
            abandon(m_transfers.begin()->first);
        for (CURL* handle : m_idleHandles)
            curl_easy_cleanup(handle);
    }

    // Returns false when the client is to stop.
    bool executeCommands()
    {
        std::deque<command> commands;
        bool isStopping = false;
        {
            mutex_lock lock(m_mutex);
            commands.swap(m_commands);
            isStopping = m_isStopping;
        }
        for (auto& next : commands) {
            if (next.callback)
                start(std::move(next));
            else
                abandon(next.id);
        }
        return !isStopping;
    }

    void start(command next)
    {
        auto checked = checkRequest(next.request);
        if (checked.isError()) {
            next.callback(checked.releaseFailure());
            return;
        }
        auto transfer = std::make_unique<curl_transfer>(
            takeIdleHandle(), next.id, std::move(next.request), std::move(next.callback));
        curl_multi_add_handle(m_multi, transfer->handle());
        m_transfers.emplace(next.id, std::move(transfer));
    }

    // Removing an unfinished transfer makes libcurl close its connection.
    void abandon(http_exchange_id id)
    {
        auto found = m_transfers.extract(id);
        if (found.empty())
            return;
        curl_multi_remove_handle(m_multi, found.mapped()->handle());
        found.mapped()->callback()(curl_transfer::cancelled());
    }

    void collectFinished()
    {
        int left = 0;
        while (CURLMsg const* message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURLcode const code = message->data.result;
            curl_transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            finish(transfer->id(), code);
        }
    }

    void finish(http_exchange_id id, CURLcode code)
    {
        auto const transfer = std::move(m_transfers.extract(id).mapped());
        auto outcome = transfer->finish(code);
        curl_multi_remove_handle(m_multi, transfer->handle());
        if (m_idleHandles.size() < maximumIdleHandles)
            m_idleHandles.push_back(transfer->releaseHandle());
        transfer->callback()(std::move(outcome));
    }

    CURL* takeIdleHandle()
    {
        if (m_idleHandles.empty())
            return nullptr;
        CURL* const handle = m_idleHandles.back();
        m_idleHandles.pop_back();
        return handle;
    }

    CURLM* const m_multi;
    std::unique_ptr<curl_event_loop> m_loop;
    mutex m_mutex { lock_rank::Leaf };
    std::deque<command> m_commands ABSL_GUARDED_BY(m_mutex);
    http_exchange_id m_nextId ABSL_GUARDED_BY(m_mutex) { 1 };
    bool m_isStopping ABSL_GUARDED_BY(m_mutex) { false };

    // Of the client's thread alone.
    std::unordered_map<http_exchange_id, std::unique_ptr<curl_transfer>> m_transfers;
    std::vector<CURL*> m_idleHandles;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<http_client> http_client::create()
{
    initializeCurlOnce();
    return std::make_unique<curl_client>();
}

result<http_response> sendAndWait(http_client& client, http_client_request request)
{
    mutex guard(lock_rank::Leaf);
    condition arrived;
    std::optional<result<http_response>> outcome;
    client.send(std::move(request), [&](result<http_response> received) {
        mutex_lock lock(guard);
        outcome = std::move(received);
        arrived.notifyAll();
    });
    mutex_lock lock(guard);
    while (!outcome)
        arrived.waitFor(guard, absl::Seconds(1));
    return std::move(*outcome);
}

} // namespace merlinpier
