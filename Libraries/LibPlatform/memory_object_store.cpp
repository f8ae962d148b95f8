#include <LibPlatform/memory_object_store.h>

namespace merlinpier {

namespace {

error unavailableError()
{
    return error { error_kind::Unavailable, "platform unavailable", "keep serving, and retry after a back-off" };
}

error conflictError(std::string const& key, std::uint64_t expected, std::uint64_t current)
{
    return error { error_kind::Conflict,
        "the object " + key + " has revision " + std::to_string(current) + ", not " + std::to_string(expected),
        "read it again before retrying" };
}

error lostAnswerError(std::string const& key)
{
    return error { error_kind::OutcomeUnknown, "the answer to the write of " + key + " was lost",
        "read the object to learn whether the write took effect" };
}

} // namespace

void memory_object_store::setFault(store_fault fault)
{
    {
        mutex_lock lock(m_mutex);
        m_fault = fault;
    }
    if (fault.mode == store_fault_mode::Down)
        failWatches();
}

store_fault memory_object_store::currentFault() const
{
    mutex_lock lock(m_mutex);
    return m_fault;
}

void memory_object_store::afterDelay(store_fault const& fault, std::function<void()> operation)
{
    if (fault.mode == store_fault_mode::Slow)
        m_timers.runAfter(fault.delay, std::move(operation));
    else
        operation();
}

std::optional<stored_object> memory_object_store::find(std::string const& key) const
{
    mutex_lock lock(m_mutex);
    auto const found = m_objects.find(key);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

void memory_object_store::read(std::string const& key, read_callback callback)
{
    auto const fault = currentFault();
    if (fault.mode == store_fault_mode::Down)
        return callback(unavailableError());
    afterDelay(fault, [this, key, callback = std::move(callback)] { callback(find(key)); });
}

void memory_object_store::write(
    std::string const& key, std::string value, write_condition condition, write_callback callback)
{
    auto const fault = currentFault();
    if (fault.mode == store_fault_mode::Down)
        return callback(unavailableError());
    afterDelay(
        fault, [this, fault, key, value = std::move(value), condition, callback = std::move(callback)]() mutable {
            auto const outcome = apply(key, std::move(value), condition);
            if (!outcome.isError())
                completeWatches(outcome.value());
            if (fault.mode == store_fault_mode::LoseAnswers)
                callback(lostAnswerError(key));
            else
                callback(outcome);
        });
}

result<stored_object> memory_object_store::apply(
    std::string const& key, std::string value, write_condition const& condition)
{
    mutex_lock lock(m_mutex);
    auto& object = m_objects[key];
    if (condition.expectedRevision && *condition.expectedRevision != object.revision) {
        auto const current = object.revision;
        if (current == 0)
            m_objects.erase(key);
        return conflictError(key, *condition.expectedRevision, current);
    }
    object = stored_object { key, ++m_lastRevision, std::move(value) };
    return object;
}

void memory_object_store::remove(std::string const& key, write_condition condition, remove_callback callback)
{
    auto const fault = currentFault();
    if (fault.mode == store_fault_mode::Down)
        return callback(unavailableError());
    afterDelay(fault, [this, fault, key, condition, callback = std::move(callback)] {
        result<empty> outcome = empty {};
        {
            mutex_lock lock(m_mutex);
            auto const found = m_objects.find(key);
            auto const current = found == m_objects.end() ? 0 : found->second.revision;
            if (current > 0 && condition.expectedRevision && *condition.expectedRevision != current)
                outcome = conflictError(key, *condition.expectedRevision, current);
            else if (current > 0)
                m_objects.erase(found);
        }
        if (fault.mode == store_fault_mode::LoseAnswers)
            callback(lostAnswerError(key));
        else
            callback(outcome);
    });
}

void memory_object_store::list(std::string const& prefix, list_callback callback)
{
    auto const fault = currentFault();
    if (fault.mode == store_fault_mode::Down)
        return callback(unavailableError());
    afterDelay(fault, [this, prefix, callback = std::move(callback)] {
        std::vector<stored_object> objects;
        {
            mutex_lock lock(m_mutex);
            for (auto next = m_objects.lower_bound(prefix); next != m_objects.end(); ++next) {
                if (!next->first.starts_with(prefix))
                    break;
                objects.push_back(next->second);
            }
        }
        callback(std::move(objects));
    });
}

void memory_object_store::watch(
    std::string const& key, std::uint64_t afterRevision, duration wait, read_callback callback)
{
    auto const fault = currentFault();
    if (fault.mode == store_fault_mode::Down)
        return callback(unavailableError());
    afterDelay(fault, [this, key, afterRevision, wait, callback = std::move(callback)]() mutable {
        startWatch(key, afterRevision, wait, std::move(callback));
    });
}

void memory_object_store::startWatch(
    std::string const& key, std::uint64_t afterRevision, duration wait, read_callback callback)
{
    std::optional<stored_object> newer;
    {
        mutex_lock lock(m_mutex);
        auto const found = m_objects.find(key);
        if (found == m_objects.end() || found->second.revision <= afterRevision) {
            auto const id = m_nextWatchId++;
            auto expiry = m_timers.subscribeOnce(wait, [this, id] { expireWatch(id); });
            m_watches.emplace(id, pending_watch { key, afterRevision, std::move(expiry), std::move(callback) });
            return;
        }
        newer = found->second;
    }
    callback(std::move(newer));
}

void memory_object_store::expireWatch(watch_id id)
{
    pending_watch expired;
    {
        mutex_lock lock(m_mutex);
        auto found = m_watches.extract(id);
        if (found.empty())
            return;
        expired = std::move(found.mapped());
    }
    expired.callback(find(expired.key));
}

void memory_object_store::completeWatches(stored_object const& object)
{
    std::vector<pending_watch> due;
    {
        mutex_lock lock(m_mutex);
        for (auto found = m_watches.begin(); found != m_watches.end();) {
            auto const next = std::next(found);
            if (found->second.key == object.key && found->second.afterRevision < object.revision)
                due.push_back(std::move(m_watches.extract(found).mapped()));
            found = next;
        }
    }
    for (auto& watch : due) {
        watch.expiry.cancel();
        watch.callback(std::optional(object));
    }
}

void memory_object_store::failWatches()
{
    std::map<watch_id, pending_watch> failed;
    {
        mutex_lock lock(m_mutex);
        failed.swap(m_watches);
    }
    for (auto& entry : failed) {
        entry.second.expiry.cancel();
        entry.second.callback(unavailableError());
    }
}

} // namespace merlinpier
