#include <LibHttp/http_client.h>

// Apart from http_client.cpp, so that programs with a client of their own do not load libcurl.

namespace merlinpier {

void http_client::checkListener(std::string const&, milliseconds, listener_callback callback)
{
    callback(listener_state::Unknown);
}

} // namespace merlinpier
