// The channel to model engines: reads their state and sends them orders over HTTP.
#include "backend/backend.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

class HttpEngineChannel final : public EngineChannel
{
public:
    Result<EngineState> state(const std::string &address, Duration timeout) override
    {
        HttpClientRequest request;
        request.method = "GET";
        request.path = "/v1/engine";
        const auto reply = send(address, std::move(request), timeout);
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        const Json json = Json::parse(reply->body, nullptr, false);
        if (reply->status != StatusOk || !json.is_object()) {
            return fail(ErrorCode::InvalidReply, "expected status 200 and a JSON object as the engine's state");
        }
        return EngineState{json.value("model", std::string()), json.value("fencing", std::uint64_t{0})};
    }

    Result<void> order(const std::string &address, const EngineOrder &order, Duration timeout) override
    {
        HttpClientRequest request;
        request.path = "/v1/engine/orders";
        request.body = Json{{"fencing", order.fencingNumber}, {"model", order.model}}.dump();
        const auto reply = send(address, std::move(request), timeout);
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        if (reply->status == StatusConflict) {
            return fail(ErrorCode::ConditionFailed, "the engine has seen a higher fencing number");
        }
        return reply->status == StatusOk ? Result<void>() : fail(ErrorCode::ServerRejected, "status " + std::to_string(reply->status));
    }

private:
    // Sends the request over a new connection. A reused one may be dead without this node knowing, and an order sent over it would only fail
    // after its timeout.
    Result<HttpReply> send(const std::string &address, HttpClientRequest request, Duration timeout)
    {
        request.receiveTimeout = timeout;
        request.freshConnection = true;
        auto reply = m_client.call(address, request, std::chrono::steady_clock::now() + timeout, timeout);
        return reply ? Result<HttpReply>(std::move(*reply)) : fail(reply.error().code, reply.error().detail);
    }

    HttpClient m_client;
};
} // namespace

std::unique_ptr<EngineChannel> makeHttpEngineChannel()
{
    return std::make_unique<HttpEngineChannel>();
}

} // namespace vanillanotch
