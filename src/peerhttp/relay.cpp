// Rows of tables of the platform's store that a node (the follower) gets from another one (the relay): call and reply.
#include "peerhttp/peer_call.h"

#include "deployment/deployment.h"

#include <nlohmann/json.hpp>

#include <numeric>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

constexpr std::chrono::milliseconds MaxWait{5000}; // a relay waits for a change at most this long, also when the follower asks for a longer wait

// A confirmation ends a follower's wait only if it is this much later than the one that the follower knows: the age that a follower states is
// rounded, and grows while the query is on its way.
constexpr std::chrono::milliseconds MinConfirmationStep{50};

// Returns the text of `json`. The values of rows in `json` are documents that may hold bytes that aren't valid UTF-8. Such bytes are
// replaced, which does no harm: no node could decode such a document anyway.
std::string dumpReplacingInvalidUtf8(const Json &json)
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

// The times of a compressed reply stand in its headers, so that its body is the same for all followers.
constexpr const char *HeldHeader = "Copy-Held-Ms";
constexpr const char *AgeHeader = "Copy-Age-Ms";
constexpr std::size_t MinCompressedBytes = 4096; // smaller replies are sent as they are

std::chrono::milliseconds timeIn(const Headers &headers, const char *header, const Json &json, const char *member)
{
    const std::string *text = headers.find(header);
    return std::chrono::milliseconds(text != nullptr ? Json::parse(*text).get<std::int64_t>() : json.at(member).get<std::int64_t>());
}

std::size_t valueBytes(const StoredRows &rows)
{
    return std::accumulate(rows.rows.begin(), rows.rows.end(), std::size_t{0}, [](std::size_t sum, const StoredRow &row) {
        return sum + row.value.size();
    });
}

Json encodeCopy(const StoredRows &copy)
{
    Json rows = Json::array();
    for (const StoredRow &row : copy.rows) {
        rows.push_back(encodeRow(row));
    }
    return Json{{"era", copy.position.era()}, {"version", copy.position.version()}, {"rows", std::move(rows)}, {"hops", copy.hops + 1}};
}

class HttpRelayChannel final : public RelayChannel
{
public:
    explicit HttpRelayChannel(const UpstreamSettings &settings)
        : m_settings(settings)
    {
    }

    Result<StoredRows> follow(const std::string &peerAddress, const RelayQuery &query, const ReplyLimits &limits) override
    {
        const TimePoint requestedAt = suspendAwareNow();
        Json request{{"table", query.table}, {"wait_ms", query.wait.count()}};
        if (query.after) {
            request["era"] = query.after->era();
            request["after"] = query.after->version();
        } else {
            request["whole"] = true;
            request["after"] = 0; // a node of an earlier version, which doesn't know `whole`, answers that it doesn't hold the changes since then
        }
        if (query.knownAge != Duration::max()) {
            request["known_age_ms"] = toMilliseconds(query.knownAge).count();
        }
        if (query.maxAge != Duration::max()) {
            request["max_age_ms"] = toMilliseconds(query.maxAge).count();
        }
        const auto reply = askPeer(m_settings, peerAddress, RelayTablePath, request.dump(), limits);
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        try {
            const Json json = Json::parse(reply->body);
            if (json.contains("error")) {
                return fail(static_cast<ErrorCode>(json.at("error").get<int>()));
            }
            StoredRows rows;
            // A node of an earlier build doesn't state the era. Its version would say nothing, so its reply isn't used.
            rows.position = StorePosition(json.at("era").get<std::uint64_t>(), json.at("version").get<std::uint64_t>());
            for (const Json &row : json.at("rows")) {
                rows.rows.push_back(StoredRow{row.at("key").get<std::string>(), row.value("value", std::string()), row.at("version").get<std::uint64_t>(),
                                              row.value("removed", false)});
            }
            // The relay got the request after requestedAt and replied `held_ms` milliseconds later; its rows were `age_ms` milliseconds old then.
            // So asOf is never later than the moment at which the rows were known to be current.
            const std::chrono::milliseconds held = timeIn(reply->headers, HeldHeader, json, "held_ms");
            const std::chrono::milliseconds age = timeIn(reply->headers, AgeHeader, json, "age_ms");
            rows.asOf = requestedAt + held - age;
            rows.hops = json.value("hops", 1U);
            rows.transfer = RowsTransfer{age, suspendAwareNow() - requestedAt - held, reply->bytes};
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
    return std::make_unique<HttpRelayChannel>(settings);
}

// Encodes the same copy once for all followers: they ask for the same changes at the same moment.
std::string PeerHandler::compressedCopy(const std::string &table, const std::optional<StorePosition> &after, const StoredRows &copy)
{
    const Lock lock(m_copiesMutex);
    CompressedCopy &last = m_copies[table];
    if (last.body.empty() || !(last.after == after) || !(last.position == copy.position) || last.hops != copy.hops) {
        last = CompressedCopy{after, copy.position, copy.hops, deflated(dumpReplacingInvalidUtf8(encodeCopy(copy)))};
    }
    return last.body;
}

void PeerHandler::serveTable(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    const TimePoint receivedAt = suspendAwareNow();
    std::string body;
    try {
        const Json request = Json::parse(exchange.body());
        const std::string tableName = request.at("table").get<std::string>();
        const auto found = m_relayed.find(tableName);
        const auto wait = std::min(MaxWait, std::chrono::milliseconds(request.at("wait_ms").get<std::int64_t>()));
        const auto known = std::chrono::milliseconds(request.value("known_age_ms", std::int64_t{-1}));
        Result<StoredRows> table = fail(ErrorCode::UnknownEntry);
        std::optional<StorePosition> after;
        if (found != m_relayed.end() && request.value("whole", false)) {
            table = found->second->wholeTable(wait);
        } else if (found != m_relayed.end()) {
            // Without a known age only changes end the wait.
            const TimePoint knownAsOf = known.count() < 0 ? TimePoint::max() : receivedAt - known + MinConfirmationStep;
            const Duration maxAge =
                request.contains("max_age_ms") ? Duration(std::chrono::milliseconds(request["max_age_ms"].get<std::int64_t>())) : Duration::max();
            const auto version = request.at("after").get<std::uint64_t>();
            if (request.contains("era")) {
                after = StorePosition(request["era"].get<std::uint64_t>(), version);
                table = found->second->changesAfter(*after, wait, knownAsOf, maxAge);
            } else {
                table = found->second->changesAfterVersion(version, wait, knownAsOf, maxAge);
            }
        }
        if (!table) {
            body = describeError(table.error().code);
        } else {
            const bool compressed = valueBytes(*table) >= MinCompressedBytes && exchange.head().headers.listContains("Accept-Encoding", "deflate");
            body = compressed ? compressedCopy(tableName, after, *table) : std::string();
            const TimePoint repliedAt = suspendAwareNow();
            const std::int64_t held = toMilliseconds(repliedAt - receivedAt).count();
            const std::int64_t age = toMilliseconds(repliedAt - *table->asOf).count() + 1; // rounded up, so that the rows never look newer than they are
            if (compressed) {
                headers.add("Content-Encoding", "deflate");
                headers.add(HeldHeader, std::to_string(held));
                headers.add(AgeHeader, std::to_string(age));
            } else {
                Json copy = encodeCopy(*table);
                copy["held_ms"] = held;
                copy["age_ms"] = age;
                body = dumpReplacingInvalidUtf8(copy);
            }
        }
    } catch (const Json::exception &) {
        logEvent(LogLevel::Warning, "peer.question_unreadable", {{"error", ErrorCode::MalformedRequest}});
        body = describeError(ErrorCode::MalformedRequest);
    }
    m_tableReplyBytes.add(body.size());
    (void)exchange.replySlowly(200, headers, std::move(body), PeerReplyTimeout, std::chrono::steady_clock::now() + LongestTransfer);
}

} // namespace vanillanotch
