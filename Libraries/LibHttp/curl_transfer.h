#pragma once

#include <LibHttp/http_client.h>
#include <curl/curl.h>
#include <memory>

namespace merlinpier {

// Checks what libcurl would not refuse: the method, header bytes, and that the host is an IP number.
result<empty> checkRequest(http_client_request const&);

// One request under way by libcurl: its easy handle, what has been received, and how its end is to be judged.
class curl_transfer {
public:
    curl_transfer(CURL* reusedHandle, http_exchange_id, http_client_request, http_callback);
    ~curl_transfer();
    curl_transfer(curl_transfer const&) = delete;
    curl_transfer& operator=(curl_transfer const&) = delete;

    CURL* handle() const { return m_handle; }
    http_exchange_id id() const { return m_id; }
    // Gives the handle, its connection left to libcurl, to the next transfer.
    CURL* releaseHandle();
    // Judges the end of the transfer.
    result<http_response> finish(CURLcode);
    // What a transfer that was cancelled comes to.
    static error cancelled();
    http_callback const& callback() const { return m_callback; }

private:
    static size_t onBody(char* data, size_t size, size_t count, void* self);
    static size_t onHeader(char* data, size_t size, size_t count, void* self);
    void prepare();
    void prepareBody();
    void prepareHeaders();
    void addHeaderLine(std::string const& line);
    error describe(CURLcode) const;
    bool isEndProvable() const;

    CURL* m_handle { nullptr };
    http_exchange_id const m_id;
    http_client_request const m_request;
    http_callback const m_callback;
    curl_slist* m_headers { nullptr };
    http_response m_response;
    bool m_isTooLong { false };
};

} // namespace merlinpier
