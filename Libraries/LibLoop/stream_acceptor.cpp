#include <LibLoop/stream_acceptor.h>

#include <LibCore/log.h>
#include <cerrno>
#include <utility>

namespace merlinpier {

namespace {

// When the process is out of descriptors, connections wait in the listen queue for this long.
constexpr milliseconds descriptorShortagePause { 100 };

} // namespace

result<std::unique_ptr<stream_acceptor>> stream_acceptor::tryCreate(
    event_loop& loop, endpoint const& address, std::function<void(accepted_socket)> didAccept)
{
    auto listening = TRY(listenOn(address));
    return std::unique_ptr<stream_acceptor>(new stream_acceptor(loop, std::move(listening), std::move(didAccept)));
}

stream_acceptor::stream_acceptor(event_loop& loop, descriptor listening, std::function<void(accepted_socket)> didAccept)
    : m_loop(loop)
    , m_listening(std::move(listening))
    , m_didAccept(std::move(didAccept))
{
    m_loop.watch(m_listening.number(), readiness::Readable, *this);
}

stream_acceptor::~stream_acceptor() { m_loop.unwatch(m_listening.number()); }

void stream_acceptor::didBecomeReadable()
{
    while (true) {
        auto accepted = acceptNext(m_listening);
        if (accepted.socket.isValid()) {
            m_didAccept(std::move(accepted));
            continue;
        }
        if (errno == EINTR || errno == ECONNABORTED)
            continue;
        if (errno == EMFILE || errno == ENFILE) {
            logWarning("descriptors_exhausted", {});
            if (m_didRunShort)
                m_didRunShort();
            m_loop.watch(m_listening.number(), readiness::Nothing, *this);
            m_shortagePause = m_loop.subscribeOnce(
                descriptorShortagePause, [this] { m_loop.watch(m_listening.number(), readiness::Readable, *this); });
        }
        return;
    }
}

} // namespace merlinpier
