#pragma once

#include <LibCore/mutex.h>
#include <LibNet/transport.h>
#include <absl/time/time.h>
#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace merlinpier {

// Keeps what a transport told, and waits for it.
class recording_listener final : public transport_listener {
private:
    template <typename Function> void record(Function const& change)
    {
        {
            mutex_lock lock(m_mutex);
            change();
        }
        m_changed.notifyAll();
    }
    template <typename Condition, typename Function> auto waitFor(Condition const& condition, Function const& read)
    {
        mutex_lock lock(m_mutex);
        while (!condition())
            m_changed.waitFor(m_mutex, absl::Milliseconds(100));
        return read();
    }

public:
    void didAccept(connection_id id, endpoint const& from) override
    {
        record([&] { m_accepted.emplace_back(id, from); });
    }
    void didConnect(connection_id id) override
    {
        record([&] { m_connected.push_back(id); });
    }
    void didReceiveFrame(connection_id id, std::string frame) override
    {
        std::function<void(connection_id)> onFrame;
        record([&] {
            m_frames[id].push_back(std::move(frame));
            onFrame = m_onFrame;
        });
        if (onFrame)
            onFrame(id);
    }
    void didClose(connection_id id, error reason) override
    {
        record([&] { m_closed.emplace(id, std::move(reason)); });
    }

    // Calls back after each frame, with no lock held.
    void setOnFrame(std::function<void(connection_id)> callback)
    {
        record([&] { m_onFrame = std::move(callback); });
    }

    std::pair<connection_id, endpoint> waitForAccepted(std::size_t index = 0)
    {
        return waitFor([&] { return m_accepted.size() > index; }, [&] { return m_accepted[index]; });
    }
    void waitForConnected(connection_id id)
    {
        waitFor([&] { return std::count(m_connected.begin(), m_connected.end(), id) > 0; }, [] { return 0; });
    }
    std::vector<std::string> waitForFrames(connection_id id, std::size_t count)
    {
        return waitFor([&] { return m_frames[id].size() >= count; }, [&] { return m_frames[id]; });
    }
    error waitForClosed(connection_id id)
    {
        return waitFor([&] { return m_closed.contains(id); }, [&] { return m_closed.at(id); });
    }
    std::size_t frameCount(connection_id id)
    {
        return waitFor([] { return true; }, [&] { return m_frames[id].size(); });
    }

private:
    mutex m_mutex { lock_rank::Leaf };
    condition m_changed;
    std::vector<std::pair<connection_id, endpoint>> m_accepted;
    std::vector<connection_id> m_connected;
    std::map<connection_id, std::vector<std::string>> m_frames;
    std::map<connection_id, error> m_closed;
    std::function<void(connection_id)> m_onFrame;
};

} // namespace merlinpier
