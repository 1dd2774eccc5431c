#include "test_bed.hpp"

#include <memory>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace bamboochute;
using test::chatBody;
using test::Client;
using test::ClientAnswer;
using test::TestBed;

namespace {

/// The code of an error answer, after checks of its OpenAI format and of its run state.
std::string codeOf(const ClientAnswer &answer)
{
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    REQUIRE(body.is_object());
    const auto &error = body.at("error");
    CHECK(error.at("message").is_string());
    CHECK(error.at("type").is_string());
    CHECK(error.contains("param"));
    CHECK(answer.headers.at("x-bamboochute-run-state") == "not-run");
    CHECK_FALSE(answer.headers.at("x-request-id").empty());
    return error.at("code").get<std::string>();
}

std::string paramOf(const ClientAnswer &answer)
{
    const auto param = nlohmann::json::parse(answer.body).at("error").at("param");
    return param.is_string() ? param.get<std::string>() : std::string();
}

caller::ServerLimits tightLimits()
{
    caller::ServerLimits limits;
    limits.maxHeaderBytes = 2048;
    limits.maxBodyBytes = 4096;
    limits.headerTimeout = std::chrono::milliseconds(150);
    limits.bodyTimeout = std::chrono::milliseconds(150);
    return limits;
}

ClientAnswer sendRaw(TestBed &bed, std::string_view text)
{
    Client client(bed.endpoint);
    client.send(text);
    return client.read();
}

} // namespace

TEST_CASE("an invalid request gets an error with its code, and the server keeps serving")
{
    TestBed bed(tightLimits());
    bed.addEngine();
    bed.publish();

    SUBCASE("text that is not HTTP is a malformed request")
    {
        CHECK(codeOf(sendRaw(bed, "hello there\r\n\r\n")) == "malformed_request");
    }

    SUBCASE("Content-Length with Transfer-Encoding, or an unknown Transfer-Encoding, is malformed")
    {
        for (const char *headers :
             {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
              "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n", "Transfer-Encoding: gzip\r\n"}) {
            CAPTURE(headers);
            const std::string text = fmt::format(
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n{}\r\n0\r\n\r\n", headers);
            CHECK(codeOf(sendRaw(bed, text)) == "malformed_request");
        }
    }

    SUBCASE("a repeated header that may be given only once is malformed")
    {
        for (const char *header :
             {"Content-Length: 2", "Host: b", "Authorization: Bearer a", "idempotency-key: k",
              "x-request-deadline-ms: 5", "x-request-id: r"}) {
            CAPTURE(header);
            const std::string line = std::string(header) + "\r\n";
            const std::string text = fmt::format(
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n{0}{0}\r\n{{}}", line);
            CHECK(codeOf(sendRaw(bed, text)) == "malformed_request");
        }
    }

    SUBCASE("a request without Host is malformed")
    {
        CHECK(codeOf(sendRaw(bed, "GET /healthz HTTP/1.1\r\n\r\n")) == "malformed_request");
    }

    SUBCASE("a header or body over its size limit is refused")
    {
        const std::string longHeader = "X-Long: " + std::string(4000, 'a') + "\r\n";
        CHECK(codeOf(sendRaw(bed, "GET /healthz HTTP/1.1\r\nHost: a\r\n" + longHeader + "\r\n"))
              == "header_too_large");
        CHECK(codeOf(sendRaw(bed, "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
                                  "Content-Length: 5000\r\n\r\n"))
              == "body_too_large");
        CHECK(codeOf(sendRaw(bed, "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n2000\r\n"))
              == "body_too_large");
    }

    SUBCASE("a header or body that is not sent in time is refused")
    {
        CHECK(codeOf(sendRaw(bed, "GET /healthz HTT")) == "slow_sender");
        CHECK(codeOf(sendRaw(bed,
                             "POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n"
                             "\r\n{"))
              == "slow_sender");
    }

    SUBCASE("unknown paths, methods, models and adapters are refused")
    {
        Client client(bed.endpoint);
        CHECK(codeOf(client.call("GET", "/v2/none")) == "unknown_path");
        CHECK(codeOf(client.call("GET", "/v1/chat/completions")) == "method_not_allowed");
        const ClientAnswer answer
                = client.call("POST", "/v1/chat/completions", chatBody("nowhere"));
        CHECK(codeOf(answer) == "model_not_found");
        CHECK(paramOf(answer) == "model");
        CHECK(codeOf(client.call("POST", "/v1/chat/completions", chatBody("small:other"),
                                 "Authorization: Bearer officer-secret\r\n"))
              == "adapter_not_found");
    }

    SUBCASE("a body that is not JSON, nested too deep or of wrong types is refused")
    {
        Client client(bed.endpoint);
        const auto code = [&](std::string_view body) {
            return codeOf(client.call("POST", "/v1/chat/completions", body));
        };
        CHECK(code("{") == "malformed_json");
        CHECK(code("") == "malformed_json");
        CHECK(code("[]") == "invalid_field");
        CHECK(code(R"({"messages":[]})") == "invalid_field");
        CHECK(code(R"({"model":7,"messages":[]})") == "invalid_field");
        CHECK(code(R"({"model":"small"})") == "invalid_field");
        CHECK(code(R"({"model":"small","messages":"hi"})") == "invalid_field");
        CHECK(code(R"({"model":"small","stream":"yes","messages":[]})") == "invalid_field");
        CHECK(code(R"({"model":"small","messages":)" + std::string(200, '[')) == "json_too_deep");
        CHECK(client.call("POST", "/v1/chat/completions", chatBody("small")).status == 200);
    }

    SUBCASE("a deadline that is not a number in the allowed range is refused")
    {
        Client client(bed.endpoint);
        for (const char *deadline : {"0", "-5", "soon", "99999999999999999999", "600001", ""}) {
            CAPTURE(deadline);
            const ClientAnswer answer
                    = client.call("POST", "/v1/chat/completions", chatBody("small"),
                                  std::string("x-request-deadline-ms: ") + deadline + "\r\n");
            CHECK(codeOf(answer) == "invalid_deadline");
        }
    }

    SUBCASE("an operation key that is too long is refused")
    {
        Client client(bed.endpoint);
        const std::string header = "idempotency-key: " + std::string(300, 'k') + "\r\n";
        CHECK(codeOf(client.call("POST", "/reservations/book", "{}", header))
              == "operation_key_invalid");
    }

    // After each invalid request the server answers the next caller and has counted the error.
    Client next(bed.endpoint);
    CHECK(next.call("GET", "/healthz").status == 200);
    const ClientAnswer metrics = next.call("GET", "/metrics");
    CHECK(metrics.body.find("bamboochute_errors_total") != std::string::npos);
}

TEST_CASE("requests are answered while a hundred connections are idle")
{
    TestBed bed;
    bed.addEngine();
    bed.publish();
    std::vector<std::unique_ptr<Client>> idle;
    idle.reserve(100);
    for (int i = 0; i < 100; ++i)
        idle.push_back(std::make_unique<Client>(bed.endpoint));
    Client client(bed.endpoint);
    CHECK(client.call("POST", "/v1/chat/completions", chatBody("small")).status == 200);
    CHECK(idle.back()->call("GET", "/readyz").status == 200);
}

TEST_CASE("pipelined requests on one connection are answered in order")
{
    TestBed bed;
    bed.addEngine();
    bed.publish();
    Client client(bed.endpoint);
    const std::string chat = test::requestText("POST", "/v1/chat/completions", chatBody("small"),
                                               "x-request-id: first\r\n");
    client.send(chat + test::requestText("GET", "/healthz", "", "x-request-id: second\r\n"));
    CHECK(client.read().headers.at("x-request-id") == "first");
    CHECK(client.read().headers.at("x-request-id") == "second");

    SUBCASE("a chunked body after Expect: 100-continue is answered on the same connection")
    {
        client.send(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                "Expect: 100-continue\r\n\r\n");
        client.readUntil("100 Continue\r\n\r\n");
        CHECK(client.read().status == 100);
        const std::string body = chatBody("small");
        client.send("a\r\n" + body.substr(0, 10) + "\r\n");
        char size[16];
        std::snprintf(size, sizeof(size), "%zx", body.size() - 10);
        client.send(size + std::string("\r\n") + body.substr(10) + "\r\n0\r\n\r\n");
        CHECK(client.read().status == 200);
    }
}

TEST_CASE("the model list has the models and adapters of the caller's deployment")
{
    TestBed bed;
    bed.publish();
    Client client(bed.endpoint);
    const auto body = nlohmann::json::parse(client.call("GET", "/v1/models").body);
    CHECK(body.at("object") == "list");
    REQUIRE(body.at("data").size() == 3);
    CHECK(body.at("data")[2].at("id") == "small:desk-tone");
}
