#pragma once

#include <LibHttp/http_server.h>
#include <Tests/StandIns/ByteRelay/byte_relay.h>
#include <string_view>

namespace merlinpier {

// Reads {"mode", "delay_ms", "connections", "from"}; BadInput if it is anything else.
result<relay_change> parseRelayChange(std::string_view json);

// The HTTP interface by which a test changes a relay: POST /mode and GET /state.
class relay_control final : public http_handler {
public:
    explicit relay_control(byte_relay& relay)
        : m_relay(relay)
    {
    }

    void didReceiveRequest(http_request, std::shared_ptr<http_responder>) override;

private:
    byte_relay& m_relay;
};

} // namespace merlinpier
