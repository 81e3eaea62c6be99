// Which model engine gets a request: calls to the owner of a data centre's engines.
#include "peerhttp/peer_call.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

constexpr std::size_t MaxPrefixes = 64; // shared parts of one prompt that are sent; the others count as not cached

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

constexpr const char *UnreachableName = "unreachable";
constexpr const char *FailedName = "failed";
constexpr const char *OtherName = "other";

const char *nameOf(InstanceCallOutcome outcome)
{
    return outcome == InstanceCallOutcome::Unreachable ? UnreachableName : outcome == InstanceCallOutcome::Failed ? FailedName : OtherName;
}

InstanceCallOutcome outcomeOf(const std::string &name)
{
    return name == UnreachableName ? InstanceCallOutcome::Unreachable : name == FailedName ? InstanceCallOutcome::Failed : InstanceCallOutcome::Inconclusive;
}

std::string encodeDemand(const PlacementDemand &demand)
{
    Json prefixes = Json::array();
    for (const PromptPrefix &prefix : demand.prefixes) {
        if (prefixes.size() < MaxPrefixes) {
            prefixes.push_back({prefix.hash, prefix.tokens});
        }
    }
    return dump(Json{{"attempt", demand.attempt},
                     {"service", demand.service},
                     {"data_centre", demand.dataCentre},
                     {"prefixes", std::move(prefixes)},
                     {"own_tokens", demand.ownTokens},
                     {"avoid", demand.avoid},
                     {"last_engine", demand.lastEngine},
                     {"target_ms", demand.targetIn.count()}});
}

Result<PlacementDemand> decodeDemand(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        PlacementDemand demand;
        demand.attempt = json.at("attempt").get<std::string>();
        demand.service = json.at("service").get<std::string>();
        demand.dataCentre = json.at("data_centre").get<std::string>();
        for (const Json &prefix : json.at("prefixes")) {
            demand.prefixes.push_back(PromptPrefix{prefix.at(0).get<std::uint64_t>(), prefix.at(1).get<unsigned>()});
        }
        demand.ownTokens = json.at("own_tokens").get<unsigned>();
        demand.avoid = json.at("avoid").get<std::set<std::string>>();
        demand.lastEngine = json.value("last_engine", std::string());
        demand.targetIn = std::chrono::milliseconds(json.at("target_ms").get<std::int64_t>());
        return demand;
    } catch (const Json::exception &exception) {
        return fail(ErrorCode::MalformedRequest, exception.what());
    }
}

class HttpPlacementChannel final : public PlacementChannel
{
public:
    explicit HttpPlacementChannel(const UpstreamSettings &settings)
        : m_settings(settings)
    {
    }

    Result<std::optional<std::string>> place(const std::string &peerAddress, const PlacementDemand &demand, TimePoint until,
                                             CancellationWatch &cancellation) override
    {
        const auto reply = callPeer(m_settings, PeerCall{peerAddress, PlacementPath, encodeDemand(demand), until, until}, cancellation, [] {
            return false;
        });
        if (!reply) {
            return fail(reply.error().code == ErrorCode::CallerDisconnected ? ErrorCode::CallerDisconnected : ErrorCode::PeerUnavailable);
        }
        try {
            const Json json = Json::parse(reply->body);
            if (json.contains("error")) {
                return fail(ErrorCode::PeerUnavailable);
            }
            return json.contains("instance") ? std::optional(json.at("instance").get<std::string>()) : std::nullopt;
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PeerUnavailable, exception.what());
        }
    }

    Result<void> report(const std::string &peerAddress, const std::vector<PlacementReport> &reports, TimePoint until) override
    {
        Json list = Json::array();
        for (const PlacementReport &report : reports) {
            Json entry{{"attempt", report.attempt}, {"service", report.service}, {"instance", report.instance}};
            if (report.firstEventAfter) {
                entry["first_event_us"] = report.firstEventAfter->count();
            } else {
                entry["outcome"] = nameOf(report.outcome);
            }
            list.push_back(std::move(entry));
        }
        NeverCancelled neverCancelled;
        const auto reply =
            callPeer(m_settings, PeerCall{peerAddress, PlacementReportsPath, dump(Json{{"reports", std::move(list)}}), until, until}, neverCancelled, [] {
                return false;
            });
        return reply ? Result<void>() : fail(ErrorCode::PeerUnavailable);
    }

private:
    const UpstreamSettings m_settings;
};
} // namespace

std::unique_ptr<PlacementChannel> makePlacementChannel(const UpstreamSettings &settings)
{
    return std::make_unique<HttpPlacementChannel>(settings);
}

void PeerHandler::servePlacement(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    const TimePoint until = std::chrono::steady_clock::now() + PeerReplyTimeout;
    const auto demand = decodeDemand(exchange.body());
    if (!demand) {
        logEvent(LogLevel::Warning, "peer.placement_unreadable", {{"error", demand.error().code}});
        (void)exchange.reply(400, headers, describeError(demand.error().code), until);
        return;
    }
    const auto instance = m_placement.place(*demand);
    (void)exchange.reply(200, headers, dump(instance ? Json{{"instance", *instance}} : Json::object()), until);
}

void PeerHandler::servePlacementReports(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    const TimePoint until = std::chrono::steady_clock::now() + PeerReplyTimeout;
    try {
        std::vector<PlacementReport> reports;
        const Json json = Json::parse(exchange.body());
        for (const Json &entry : json.at("reports")) {
            PlacementReport report{
                entry.at("attempt").get<std::string>(), entry.at("service").get<std::string>(), entry.at("instance").get<std::string>(), {}, {}};
            if (entry.contains("first_event_us")) {
                report.firstEventAfter = std::chrono::microseconds(entry.at("first_event_us").get<std::int64_t>());
            } else {
                report.outcome = outcomeOf(entry.value("outcome", std::string()));
            }
            reports.push_back(std::move(report));
        }
        m_placement.recordOfOtherNode(reports);
        (void)exchange.reply(200, headers, "{}", until);
    } catch (const Json::exception &) {
        logEvent(LogLevel::Warning, "peer.placement_unreadable", {{"error", ErrorCode::MalformedRequest}});
        (void)exchange.reply(400, headers, describeError(ErrorCode::MalformedRequest), until);
    }
}

} // namespace vanillanotch
