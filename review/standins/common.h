// Small blocking HTTP/1.1 plumbing for the stand-ins of the review. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

inline long long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(long long ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Appends whole lines to a file that several processes share.
class record {
public:
    explicit record(std::string const& path)
        : m_file(path.empty() ? stdout : std::fopen(path.c_str(), "a"))
    {
        if (!m_file) {
            std::perror(path.c_str());
            std::exit(2);
        }
    }
    void line(std::string const& text)
    {
        std::lock_guard lock(m_mutex);
        std::fputs((text + "\n").c_str(), m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    FILE* m_file;
};

inline sockaddr_in parseAddress(std::string const& text)
{
    auto const colon = text.rfind(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1
        || (ntohl(address.sin_addr.s_addr) >> 24) != 127) {
        std::fprintf(stderr, "%s is no loopback address with a port\n", text.c_str());
        std::exit(2);
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return address;
}

inline void noDelay(int socket)
{
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int listenOn(std::string const& text)
{
    auto const address = parseAddress(text);
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0 || listen(socket, 1024) != 0) {
        std::perror(("listen on " + text).c_str());
        std::exit(2);
    }
    std::printf("listening %s\n", text.c_str());
    std::fflush(stdout);
    return socket;
}

// Returns -1 if no connection is made within a second, as the pages say of clients.
inline int connectTo(std::string const& text, int receiveBuffer = 0)
{
    auto const address = parseAddress(text);
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return -1;
    if (receiveBuffer > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    timeval const second { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof second);
    if (connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0) {
        close(socket);
        return -1;
    }
    timeval const none { 0, 0 };
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof none);
    noDelay(socket);
    return socket;
}

inline bool sendAll(int socket, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t const count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct message {
    // "METHOD TARGET VERSION" or "VERSION STATUS REASON".
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // False if the connection ended inside the message.
    bool isWhole { false };
    // The first line and all headers were read.
    bool hasHeader { false };

    std::string header(char const* name) const
    {
        for (auto const& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    std::string word(int index) const
    {
        std::size_t begin = 0;
        for (; index > 0; --index) {
            begin = first.find(' ', begin);
            if (begin == std::string::npos)
                return {};
            ++begin;
        }
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(word(1).c_str()); }
    bool closes() const { return strcasecmp(header("Connection").c_str(), "close") == 0; }
};

// Reads messages with a length from one connection.
class reader {
public:
    explicit reader(int socket)
        : m_socket(socket)
    {
    }

    // Returns false at the end of the connection; then the message holds what had come.
    bool next(message& out)
    {
        out = {};
        std::size_t end;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        auto const head = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 4);
        std::size_t begin = head.find("\r\n");
        out.first = head.substr(0, begin);
        while (begin != std::string::npos) {
            begin += 2;
            auto const stop = head.find("\r\n", begin);
            auto const line = head.substr(begin, stop == std::string::npos ? stop : stop - begin);
            auto const colon = line.find(':');
            if (colon != std::string::npos) {
                auto const value = line.find_first_not_of(" \t", colon + 1);
                out.headers.emplace_back(
                    line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
            }
            begin = stop;
        }
        out.hasHeader = true;
        auto const length = std::strtoull(out.header("Content-Length").c_str(), nullptr, 10);
        while (m_bytes.size() < length) {
            if (!fill()) {
                out.body = m_bytes;
                return false;
            }
        }
        out.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        out.isWhole = true;
        return true;
    }

private:
    bool fill()
    {
        char buffer[65536];
        ssize_t count;
        do
            count = recv(m_socket, buffer, sizeof buffer, 0);
        while (count < 0 && errno == EINTR);
        if (count <= 0)
            return false;
        m_bytes.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_bytes;
};

inline std::string response(
    int status, std::vector<std::pair<std::string, std::string>> const& headers, std::string const& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (auto const& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline void serve(int listening, std::function<void(int)> const& connection)
{
    while (true) {
        int const socket = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            sleepMs(5);
            continue;
        }
        noDelay(socket);
        std::thread([socket, connection] {
            connection(socket);
            close(socket);
        }).detach();
    }
}

inline std::string argument(std::string const& target, std::string const& name, std::string const& otherwise = {})
{
    auto const question = target.find('?');
    if (question == std::string::npos)
        return otherwise;
    std::string const query = "&" + target.substr(question + 1);
    auto const found = query.find("&" + name + "=");
    if (found == std::string::npos)
        return otherwise;
    auto const begin = found + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
}

// The body that a worker makes for a request; clients compare it byte by byte.
inline std::string bodyFor(std::string const& id, std::size_t bytes)
{
    std::string body;
    body.reserve(bytes + 64);
    for (std::size_t i = 0; body.size() < bytes; ++i)
        body += id + ":" + std::to_string(i) + ";";
    body.resize(bytes);
    return body;
}

class options {
public:
    options(int count, char** words)
    {
        for (int i = 1; i + 1 < count; i += 2)
            m_values[words[i]] = words[i + 1];
    }
    std::string text(std::string const& name, std::string const& otherwise = {}) const
    {
        auto const found = m_values.find("--" + name);
        return found == m_values.end() ? otherwise : found->second;
    }
    long long number(std::string const& name, long long otherwise) const
    {
        auto const value = text(name);
        return value.empty() ? otherwise : std::atoll(value.c_str());
    }

private:
    std::map<std::string, std::string> m_values;
};
