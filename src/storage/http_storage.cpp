// Client of the platform's service: HTTP with JSON bodies. docs/PLATFORM.md specifies the protocol.
#include "http/http.h"
#include "storage/storage.h"

#include <Poco/URI.h>

#include <nlohmann/json.hpp>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNotModified = 304;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusPreconditionFailed = 412;

std::string encodeQueryValue(const std::string &text)
{
    std::string out;
    Poco::URI::encode(text, "/?#&=+%", out);
    return out;
}

// Sends calls to the platform's service; a failed call or an unexpected status becomes PlatformUnavailable or PlatformAnswerLost.
class PlatformClient : public RefCounted<PlatformClient>
{
public:
    explicit PlatformClient(PlatformSettings settings)
        : m_settings(std::move(settings))
        , m_client(clientSettings())
    {
    }

    Result<HttpReply> read(const std::string &path, const std::map<std::string, std::string> &headers = {})
    {
        HttpClientRequest request = makeRequest("GET", path, {});
        request.headers.insert(headers.begin(), headers.end());
        auto reply = m_client.call(m_settings.address, request, deadline(), m_settings.timeout);
        return reply ? checkStatus(*reply) : fail(ErrorCode::PlatformUnavailable, reply.error().detail);
    }

    Result<HttpReply> write(const std::string &method, const std::string &path, std::string body, const std::map<std::string, std::string> &headers = {})
    {
        HttpClientRequest request = makeRequest(method, path, std::move(body));
        request.headers.insert(headers.begin(), headers.end());
        auto reply = m_client.call(m_settings.address, request, deadline(), m_settings.timeout);
        if (reply) {
            return checkStatus(*reply);
        }
        const ErrorCode code = reply.error().maybeSent ? ErrorCode::PlatformAnswerLost : ErrorCode::PlatformUnavailable;
        return fail(code, reply.error().detail);
    }

private:
    // Each call has a connection of its own: the platform's replies bear no id, so a late second copy of a reply could be taken for the next one.
    static HttpClientSettings clientSettings()
    {
        HttpClientSettings settings;
        settings.idlePerAddress = 0;
        return settings;
    }

    TimePoint deadline() const
    {
        return std::chrono::steady_clock::now() + m_settings.timeout;
    }

    HttpClientRequest makeRequest(const std::string &method, const std::string &path, std::string body) const
    {
        HttpClientRequest request;
        request.method = method;
        request.path = path;
        request.body = std::move(body);
        request.receiveTimeout = m_settings.timeout;
        if (!m_settings.token.empty()) {
            request.headers["Authorization"] = "Bearer " + m_settings.token;
        }
        return request;
    }

    static Result<HttpReply> checkStatus(const HttpReply &reply)
    {
        const bool expected = reply.status == StatusOk || reply.status == StatusNotModified || reply.status == StatusNotFound || reply.status == StatusConflict
            || reply.status == StatusPreconditionFailed;
        if (!expected) {
            // After any other status, such as a 5xx, it is unknown whether a write took effect.
            return fail(ErrorCode::PlatformAnswerLost, "status " + std::to_string(reply.status));
        }
        return reply;
    }

    PlatformSettings m_settings;
    HttpClient m_client;
};

Row decodeRow(const Json &json)
{
    return Row{json.at("key").get<std::string>(), json.at("value").get<std::string>(), json.at("version").get<std::uint64_t>()};
}

class HttpTable final : public Table
{
public:
    explicit HttpTable(Ref<PlatformClient> client)
        : m_platform(std::move(client))
    {
    }

    Result<std::optional<Row>> read(const std::string &key) override
    {
        auto reply = m_platform->read("/v1/rows?key=" + encodeQueryValue(key));
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        if (reply->status == StatusNotFound) {
            return std::optional<Row>();
        }
        return decode<std::optional<Row>>(*reply, [](const Json &json) {
            return std::optional<Row>(decodeRow(json));
        });
    }

    Result<std::vector<Row>> scan(const std::string &prefix, const std::string &after, std::size_t limit) override
    {
        auto reply = m_platform->read("/v1/scan?prefix=" + encodeQueryValue(prefix) + "&after=" + encodeQueryValue(after) + "&limit=" + std::to_string(limit));
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        return decode<std::vector<Row>>(*reply, [](const Json &json) {
            std::vector<Row> rows;
            for (const Json &row : json.at("rows")) {
                rows.push_back(decodeRow(row));
            }
            return rows;
        });
    }

    Result<void> commit(const std::vector<Write> &writes) override
    {
        Json list = Json::array();
        for (const Write &write : writes) {
            Json item{{"key", write.key}, {"expected_version", write.expectedVersion}};
            item["value"] = write.value ? Json(*write.value) : Json(nullptr);
            list.push_back(std::move(item));
        }
        auto reply = m_platform->write("POST", "/v1/commit", Json{{"writes", std::move(list)}}.dump());
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        if (reply->status == StatusConflict) {
            return fail(ErrorCode::ConditionFailed, writes.empty() ? std::string() : writes.front().key);
        }
        return {};
    }

private:
    template<typename T, typename Decoder>
    static Result<T> decode(const HttpReply &reply, const Decoder &decoder)
    {
        try {
            return decoder(Json::parse(reply.body));
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PlatformReplyInvalid, exception.what());
        }
    }

    Ref<PlatformClient> m_platform;
};

class HttpObjects final : public ObjectStore
{
public:
    explicit HttpObjects(Ref<PlatformClient> client)
        : m_platform(std::move(client))
    {
    }

    Result<std::string> read(const std::string &name) override
    {
        auto reply = m_platform->read(pathOf(name));
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        if (reply->status == StatusNotFound) {
            return fail(ErrorCode::ObjectNotFound, name);
        }
        return reply->body;
    }

    Result<void> write(const std::string &name, const std::string &bytes) override
    {
        return toResult(m_platform->write("PUT", pathOf(name), bytes), name);
    }

    Result<void> insert(const std::string &name, const std::string &bytes) override
    {
        return toResult(m_platform->write("PUT", pathOf(name), bytes, {{"If-None-Match", "*"}}), name);
    }

    Result<void> remove(const std::string &name) override
    {
        return toResult(m_platform->write("DELETE", pathOf(name), {}), name);
    }

private:
    static std::string pathOf(const std::string &name)
    {
        return "/v1/objects?name=" + encodeQueryValue(name);
    }

    static Result<void> toResult(const Result<HttpReply> &reply, const std::string &name)
    {
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        if (reply->status == StatusPreconditionFailed) {
            return fail(ErrorCode::ConditionFailed, name);
        }
        return {};
    }

    Ref<PlatformClient> m_platform;
};

class HttpVmList final : public VmList
{
public:
    explicit HttpVmList(Ref<PlatformClient> client)
        : m_platform(std::move(client))
    {
    }

    Result<std::vector<VmRecord>> list() override
    {
        Lock lock(m_mutex);
        const std::string etag = m_etag;
        auto cached = m_records;
        lock.unlock();
        std::map<std::string, std::string> headers;
        if (!etag.empty()) {
            headers["If-None-Match"] = etag;
        }
        auto reply = m_platform->read("/v1/vms", headers);
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        if (reply->status == StatusNotModified) {
            return cached;
        }
        auto records = decode(reply->body);
        if (records) {
            const Lock updateLock(m_mutex);
            m_records = *records;
            m_etag = reply->headers["etag"];
        }
        return records;
    }

private:
    static Result<std::vector<VmRecord>> decode(const std::string &body)
    {
        try {
            std::vector<VmRecord> records;
            const Json json = Json::parse(body);
            for (const Json &vm : json.at("vms")) {
                VmRecord record;
                record.name = vm.at("name").get<std::string>();
                record.role = vm.at("role").get<std::string>() == "backend" ? VmRole::Backend : VmRole::Entry;
                record.state = vm.at("state").get<std::string>() == "leaving" ? VmState::Leaving : VmState::Live;
                record.dataCentre = vm.value("data_centre", "");
                record.peerAddress = vm.value("peer_address", "");
                record.operatorAddress = vm.value("operator_address", "");
                records.push_back(std::move(record));
            }
            return records;
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PlatformReplyInvalid, exception.what());
        }
    }

    Ref<PlatformClient> m_platform;
    RankedMutex m_mutex{LockRank::Storage};
    std::string m_etag; // HTTP entity tag (ETag) of m_records; empty: no list was read so far
    std::vector<VmRecord> m_records; // the list read last, returned when the platform replies 304 (not modified)
};
} // namespace

Platform makeHttpPlatform(const PlatformSettings &settings)
{
    Ref<PlatformClient> client = makeRef<PlatformClient>(settings);
    Platform platform;
    platform.table = std::make_unique<HttpTable>(client);
    platform.objects = std::make_unique<HttpObjects>(client);
    platform.vms = std::make_unique<HttpVmList>(client);
    return platform;
}

} // namespace vanillanotch
