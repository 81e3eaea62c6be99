// Tables of the platform's store, followed through another node.
#include "peerhttp/peer_call.h"

#include "deployment/deployment.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

constexpr std::chrono::milliseconds LongestWait{5000}; // that a follower may ask for

// Documents are passed on as text; what is no UTF-8 is no document that anyone could read.
std::string encode(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json encodeRow(const StoredRow &row)
{
    Json json{{"key", row.key}, {"version", row.version}};
    if (row.removed) {
        json["removed"] = true;
    } else {
        json["value"] = row.value;
    }
    return json;
}

class HttpRelay final : public RelayChannel
{
public:
    explicit HttpRelay(const UpstreamSettings &settings)
        : m_settings(settings)
    {
    }

    Result<StoredRows> follow(const std::string &peerAddress, const std::string &table, std::uint64_t after, std::chrono::milliseconds wait,
                              Duration limit) override
    {
        NeverCancelled nobody;
        const TimePoint asked = suspendAwareNow();
        const TimePoint until = std::chrono::steady_clock::now() + limit;
        const Json question{{"table", table}, {"after", after}, {"wait_ms", wait.count()}};
        const auto reply = callPeer(m_settings, PeerCall{peerAddress, RelayTablePath, question.dump(), until, until}, nobody, [] {
            return false;
        });
        if (!reply) {
            return fail(ErrorCode::PeerUnavailable, std::string(errorName(reply.error().code)));
        }
        try {
            const Json json = Json::parse(*reply);
            if (json.contains("error")) {
                return fail(static_cast<ErrorCode>(json.at("error").get<int>()));
            }
            StoredRows rows;
            rows.version = json.at("version").get<std::uint64_t>();
            for (const Json &row : json.at("rows")) {
                rows.rows.push_back(StoredRow{row.at("key").get<std::string>(), row.value("value", std::string()), row.at("version").get<std::uint64_t>(),
                                              row.value("removed", false)});
            }
            // The relay held the question for `held_ms` before it answered with news of that age.
            rows.asOf = asked + std::chrono::milliseconds(json.at("held_ms").get<std::int64_t>() - json.at("age_ms").get<std::int64_t>());
            return rows;
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PeerUnavailable, exception.what());
        }
    }

private:
    const UpstreamSettings m_settings;
};
} // namespace

std::unique_ptr<RelayChannel> makeRelayChannel(const UpstreamSettings &settings)
{
    return std::make_unique<HttpRelay>(settings);
}

void PeerHandler::serveTable(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    const TimePoint began = suspendAwareNow();
    std::string body;
    try {
        const Json question = Json::parse(exchange.body());
        const std::string name = question.at("table").get<std::string>();
        const auto found = m_relayed.tables.find(name);
        const auto wait = std::min(LongestWait, std::chrono::milliseconds(question.at("wait_ms").get<std::int64_t>()));
        auto changes = found == m_relayed.tables.end() ? Result<StoredRows>(fail(ErrorCode::UnknownEntry))
                                                       : found->second->changesAfter(question.at("after").get<std::uint64_t>(), wait);
        if (!changes) {
            body = describeError(changes.error().code);
        } else {
            const TimePoint answered = suspendAwareNow();
            const TimePoint asOf = found->second == m_relayed.freshnessTable ? *changes->asOf : m_relayed.freshnessTable->asOf();
            Json rows = Json::array();
            for (const StoredRow &row : changes->rows) {
                rows.push_back(encodeRow(row));
            }
            body = encode(Json{{"version", changes->version},
                               {"rows", rows},
                               {"held_ms", toMilliseconds(answered - began).count()},
                               {"age_ms", toMilliseconds(answered - asOf).count() + 1}});
        }
    } catch (const Json::exception &) {
        logEvent(LogLevel::Warning, "peer.question_unreadable", {{"error", ErrorCode::MalformedRequest}});
        body = describeError(ErrorCode::MalformedRequest);
    }
    (void)exchange.reply(200, headers, body, std::chrono::steady_clock::now() + PeerReplyTimeout);
}

} // namespace vanillanotch
