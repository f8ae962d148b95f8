#include <LibHttp/http_client.h>
#include <LibHttp/http_server.h>

#include <gtest/gtest.h>

namespace merlinpier {

namespace {

// Answers each request with what it was.
class echo_handler final : public http_handler {
public:
    void didReceiveRequest(http_request request, std::shared_ptr<http_responder> responder) override
    {
        responder->respond(
            { 200, { { "Method", request.method }, { "Path", request.pathWithQuery() } }, request.body });
    }
};

} // namespace

TEST(HttpServer, AnswersWithWhatItReceived)
{
    echo_handler handler;
    auto server = http_server::tryCreate({}, handler).releaseValue();
    auto client = http_client::create();
    http_client_request request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/a%2Fb/c?x=1%202";
    request.body = "hello";
    auto const response = sendAndWait(*client, request);
    ASSERT_FALSE(response.isError()) << response.failure().text();
    EXPECT_EQ(response.value().status, 200);
    EXPECT_EQ(response.value().body, "hello");
    EXPECT_EQ(response.value().header("path"), "/a%2Fb/c?x=1%202");
    EXPECT_EQ(response.value().header("method"), "POST");
}

} // namespace merlinpier
