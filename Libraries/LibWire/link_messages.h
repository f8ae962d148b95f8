#pragma once

#include <cstdint>
#include <string>

namespace merlinpier {

// What a connection carries. Configuration and membership travel apart from calls, so that neither waits for the other.
enum class connection_purpose : std::uint8_t { Control, Calls };

// The first frame of a connection, from the side that opened it.
struct hello {
    connection_purpose purpose { connection_purpose::Control };
    std::string vm;
    std::string zone;
    // Where the sender's own peer listener is reached.
    std::string address;
    std::uint64_t instance { 0 };
    // Rises with each connection of the purpose from this instance to the same peer.
    std::uint64_t generation { 0 };
    // Whether the sender takes large frames in parts.
    bool takesParts { false };

    bool operator==(hello const&) const = default;
};

// The accepting side's reply. When it is sent, no call frame of a lower generation from that instance is admitted any
// more.
struct hello_answer {
    std::string vm;
    std::uint64_t instance { 0 };
    std::uint64_t generation { 0 };
    // Whether the sender takes large frames in parts.
    bool takesParts { false };

    bool operator==(hello_answer const&) const = default;
};

// Asks for a pong with the same number, to tell a quiet connection from a dead one.
struct ping {
    std::uint64_t number { 0 };

    bool operator==(ping const&) const = default;
};

struct pong {
    std::uint64_t number { 0 };

    bool operator==(pong const&) const = default;
};

} // namespace merlinpier
