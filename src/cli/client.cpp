#include "cli/cli.h"

namespace vanillanotch
{

namespace
{
constexpr Duration CallTimeout = std::chrono::seconds(20); // longest time for a whole call, and also the limit of each single wait for bytes within it
}

NodeClient::NodeClient(std::string address, const CliOptions &options)
    : m_address(std::move(address))
    , m_options(options)
{
}

Result<HttpReply> NodeClient::send(HttpClientRequest request)
{
    request.headers["Authorization"] = "Bearer " + m_options.key;
    request.headers["X-Operator"] = m_options.author;
    if (!m_options.idempotencyKey.empty()) {
        request.headers["Idempotency-Key"] = m_options.idempotencyKey;
    }
    request.receiveTimeout = CallTimeout;
    auto reply = m_client.call(m_address, request, std::chrono::steady_clock::now() + CallTimeout, CallTimeout);
    if (!reply) {
        return fail(reply.error().code, m_address + ": " + reply.error().detail);
    }
    return std::move(*reply);
}

Result<HttpReply> NodeClient::get(const std::string &path)
{
    HttpClientRequest request;
    request.method = "GET";
    request.path = path;
    return send(std::move(request));
}

Result<HttpReply> NodeClient::post(const std::string &path, const std::string &body, const std::string &contentType)
{
    HttpClientRequest request;
    request.path = path;
    request.body = body;
    request.contentType = contentType;
    return send(std::move(request));
}

} // namespace vanillanotch
