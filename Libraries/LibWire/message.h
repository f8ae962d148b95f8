#pragma once

#include <LibCore/result.h>
#include <LibWire/call_messages.h>
#include <LibWire/configuration_messages.h>
#include <LibWire/link_messages.h>
#include <LibWire/membership_messages.h>
#include <string>
#include <string_view>
#include <variant>

namespace merlinpier {

// Any message of the protocol between daemons.
using message = std::variant<hello, hello_answer, ping, pong, heartbeat, heartbeat_answer, membership_update,
    membership_digest, version_announce, configuration_request, configuration_answer, call_request, call_answer,
    call_refused, call_lost, call_cancel, call_acknowledge, call_query, call_query_answer>;

// Returns the bytes of a message without the length prefix of the frame.
std::string encodeMessage(message const&);

// Verifies and reads the bytes of one message. Returns Corrupt for anything that is not one whole message.
result<message> decodeMessage(std::string_view bytes);

} // namespace merlinpier
