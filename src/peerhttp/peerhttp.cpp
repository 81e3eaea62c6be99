#include "peerhttp/peer_call.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

constexpr std::string_view StageTaskPath = "/v1/stage-orders";
constexpr std::string_view ReleasePath = "/v1/stage-releases";
constexpr std::string_view AlivePath = "/v1/alive";
constexpr std::string_view MetricsPath = "/metrics";
constexpr std::size_t ReplyLimit = 16 * 1024 * 1024; // largest body of a reply, bytes, as that of the store; the largest replies are tables

// Converts the time left until a point in time to milliseconds. Nodes send each other this number in place of the point in time, because their
// clocks differ.
std::int64_t encodeTimeLeft(Duration left)
{
    return toMilliseconds(left).count();
}

std::string encodeTask(const StageTask &task, TimePoint now)
{
    Json json;
    json["request"] = task.request;
    json["stage"] = task.stage;
    json["service"] = task.service;
    json["pieces"] = task.pieces;
    json["lanes"] = {task.group.index, task.group.count};
    if (task.inputs.empty()) {
        json["key"] = task.pieceKey;
    } else {
        json["inputs"] = task.inputs;
    }
    json["moved_bytes"] = task.crossDataCentreBytes;
    json["result_bytes"] = task.resultBytes;
    json["data_centre"] = task.dataCentre;
    if (const auto &allowed = task.scope.dataCentres()) { // absent: no restriction, as from nodes that don't know this member
        json["allowed_data_centres"] = *allowed;
    }
    json["target_ms"] = encodeTimeLeft(task.target - now);
    json["deadline_ms"] = encodeTimeLeft(task.deadline - now);
    json["priority"] = task.priority;
    json["finishing"] = task.endsChain;
    json["crash_trait"] = task.crashTrait;
    json["probe"] = task.isProbe;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<StageTask> decodeTask(const std::string &text, TimePoint now)
{
    try {
        const Json json = Json::parse(text);
        StageTask task;
        task.request = json.at("request").get<std::string>();
        task.stage = json.at("stage").get<std::size_t>();
        task.service = json.at("service").get<std::string>();
        task.pieces = json.at("pieces").get<unsigned>();
        if (task.pieces > MaxPiecesPerRequest) {
            return fail(ErrorCode::MalformedRequest, "expected a number of pieces within the limit");
        }
        task.group.index = json.at("lanes").at(0).get<std::size_t>();
        task.group.count = std::max<std::size_t>(1, json.at("lanes").at(1).get<std::size_t>());
        task.pieceKey = json.value("key", std::string());
        task.inputs = json.value("inputs", std::vector<std::string>());
        task.crossDataCentreBytes = json.at("moved_bytes").get<std::size_t>();
        task.resultBytes = json.at("result_bytes").get<std::size_t>();
        task.dataCentre = json.at("data_centre").get<std::string>();
        if (json.contains("allowed_data_centres")) {
            task.scope = DataCentreScope(json.at("allowed_data_centres").get<std::set<std::string>>());
        }
        task.target = now + std::chrono::milliseconds(json.at("target_ms").get<std::int64_t>());
        task.deadline = now + std::chrono::milliseconds(json.at("deadline_ms").get<std::int64_t>());
        task.priority = json.at("priority").get<int>();
        task.endsChain = json.at("finishing").get<bool>();
        task.crashTrait = json.value("crash_trait", std::string());
        task.isProbe = json.value("probe", false);
        return task;
    } catch (const Json::exception &exception) {
        return fail(ErrorCode::MalformedRequest, exception.what());
    }
}

// Passed to callPeer() as `alive` by calls that wait for the reply only once: false makes callPeer() end the call when that wait times out.
bool noLivenessCheck()
{
    return false;
}

class HttpStagePeerChannel final : public StagePeerChannel
{
public:
    explicit HttpStagePeerChannel(const UpstreamSettings &settings)
        : m_settings(settings)
    {
    }

    StageTaskReply run(const std::string &peerAddress, const StageTask &task, TimePoint now, Duration checkInterval, CancellationWatch &canceller,
                       const std::function<bool()> &alive) override
    {
        const auto reply =
            callPeer(m_settings, PeerCall{peerAddress, StageTaskPath, encodeTask(task, now), now + checkInterval, task.deadline}, canceller, alive);
        StageTaskReply result;
        if (!reply) {
            result.handles = fail(reply.error().code == ErrorCode::CallerDisconnected ? ErrorCode::CallerDisconnected : ErrorCode::PeerUnavailable);
            return result;
        }
        try {
            const Json json = Json::parse(reply->body);
            if (json.contains("wait_ms")) {
                result.expectedWait = std::chrono::milliseconds(json.at("wait_ms").get<std::int64_t>());
            }
            if (json.contains("error")) {
                result.handles = fail(static_cast<ErrorCode>(json.at("error").get<int>()));
            } else {
                result.handles = json.at("handles").get<std::vector<std::string>>();
            }
        } catch (const Json::exception &exception) {
            result.handles = fail(ErrorCode::PeerUnavailable, exception.what());
        }
        return result;
    }

    Result<void> release(const std::string &peerAddress, const std::vector<std::string> &handles, TimePoint until) override
    {
        NeverCancelled neverCancelled;
        const auto reply =
            callPeer(m_settings, PeerCall{peerAddress, ReleasePath, Json{{"handles", handles}}.dump(), until, until}, neverCancelled, noLivenessCheck);
        return reply ? Result<void>() : fail(ErrorCode::PeerUnavailable);
    }

    bool isAlive(const std::string &peerAddress, TimePoint until) override
    {
        NeverCancelled neverCancelled;
        return callPeer(m_settings, PeerCall{peerAddress, AlivePath, "{}", until, until}, neverCancelled, noLivenessCheck).has_value();
    }

private:
    const UpstreamSettings m_settings;
};
} // namespace

tl::expected<PeerReply, UpstreamFailure> callPeer(const UpstreamSettings &settings, const PeerCall &peerCall, CancellationWatch &canceller,
                                                  const std::function<bool()> &alive)
{
    const TimePoint begun = std::chrono::steady_clock::now();
    const Duration checkInterval = peerCall.firstCheckAt - begun;
    UpstreamCall call(settings);
    if (const auto opened = call.open(peerCall.address, peerCall.firstCheckAt, canceller); !opened) {
        return tl::unexpected(opened.error());
    }
    std::string request = "POST " + std::string(peerCall.path) + " HTTP/1.1\r\nHost: " + peerCall.address
        + "\r\nConnection: close\r\nAccept-Encoding: deflate\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(peerCall.body.size())
        + "\r\n\r\n" + peerCall.body;
    auto head = call.exchange(std::move(request), peerCall.firstCheckAt, canceller);
    while (!head && head.error().code == ErrorCode::ServerTimeout && std::chrono::steady_clock::now() < peerCall.deadline && alive()) {
        head = call.awaitHead(std::min(peerCall.deadline, std::chrono::steady_clock::now() + checkInterval), canceller);
    }
    if (!head) {
        return tl::unexpected(head.error());
    }
    auto body = peerCall.limits ? call.readAll(ReplyLimit, *peerCall.limits, begun, canceller) : call.readAll(ReplyLimit, peerCall.deadline, canceller);
    if (!body) {
        return tl::unexpected(body.error());
    }
    PeerReply reply{std::move(head->headers), std::move(*body), 0};
    reply.bytes = reply.body.size();
    if (reply.headers.listContains("Content-Encoding", "deflate")) {
        auto text = inflated(reply.body, ReplyLimit);
        if (!text) {
            return tl::unexpected(UpstreamFailure{ErrorCode::InvalidReply, true, false});
        }
        reply.body = std::move(*text);
    }
    return reply;
}

Result<PeerReply> askPeer(const UpstreamSettings &settings, const std::string &address, std::string_view path, std::string body, const ReplyLimits &limits)
{
    NeverCancelled neverCancelled;
    const TimePoint until = std::chrono::steady_clock::now() + limits.head;
    auto reply = callPeer(settings, PeerCall{address, path, std::move(body), until, until, limits}, neverCancelled, noLivenessCheck);
    return reply ? Result<PeerReply>(std::move(*reply)) : fail(ErrorCode::PeerUnavailable, std::string(errorName(reply.error().code)));
}

std::unique_ptr<StagePeerChannel> makeStagePeerChannel(const UpstreamSettings &settings)
{
    return std::make_unique<HttpStagePeerChannel>(settings);
}

PeerHandler::PeerHandler(StageScheduler &stages, PlacementOwner &placement, StreamVersions &streams, const DeploymentTable &deployments, RelayedTables relayed,
                         const std::atomic<bool> &leaving, MetricsRegistry &metrics)
    : m_stages(stages)
    , m_placement(placement)
    , m_streams(streams)
    , m_deployments(deployments)
    , m_relayed(std::move(relayed))
    , m_leaving(leaving)
    , m_metrics(metrics)
    , m_tableReplyBytes(metrics.counter("vanillanotch_table_reply_bytes_total"))
{
}

std::string PeerHandler::describeError(ErrorCode code)
{
    return Json{{"error", static_cast<int>(code)}}.dump();
}

FrontLimits PeerHandler::limits()
{
    return FrontLimits{};
}

void PeerHandler::serve(FrontExchange &exchange)
{
    const TimePoint until = std::chrono::steady_clock::now() + PeerReplyTimeout;
    Headers headers;
    if (m_leaving
        && (exchange.path() == StageTaskPath || exchange.path() == RelayTablePath || exchange.path() == PlacementPath || exchange.path() == TunnelPath)) {
        headers.add("Content-Type", "application/json");
        (void)exchange.reply(200, headers, describeError(ErrorCode::PeerUnavailable), until);
    } else if (exchange.path() == StageTaskPath && exchange.head().method == "POST") {
        serveStageTask(exchange);
    } else if (exchange.path() == ReleasePath && exchange.head().method == "POST") {
        serveRelease(exchange);
    } else if (exchange.path() == RelayTablePath && exchange.head().method == "POST") {
        serveTable(exchange);
    } else if (exchange.path() == PlacementPath && exchange.head().method == "POST") {
        servePlacement(exchange);
    } else if (exchange.path() == PlacementReportsPath && exchange.head().method == "POST") {
        servePlacementReports(exchange);
    } else if (exchange.path() == StreamVersionsPath && exchange.head().method == "POST") {
        serveStreamVersion(exchange);
    } else if (exchange.path() == ConfigurationPath && exchange.head().method == "POST") {
        serveConfiguration(exchange);
    } else if (exchange.path() == TunnelPath && exchange.head().method == "POST") {
        serveTunnel(exchange);
    } else if (exchange.path() == AlivePath) {
        (void)exchange.reply(200, headers, "{}", until);
    } else if (exchange.path() == MetricsPath && exchange.head().method == "GET") {
        headers.add("Content-Type", "text/plain; version=0.0.4");
        (void)exchange.reply(200, headers, m_metrics.renderText(), until);
    } else {
        headers.add("Content-Type", "application/json");
        (void)exchange.reply(404, headers, describeError(ErrorCode::UnknownPath), until);
    }
}

void PeerHandler::serveStageTask(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    auto task = decodeTask(exchange.body(), exchange.arrived());
    if (!task) {
        logEvent(LogLevel::Warning, "peer.order_unreadable", {{"error", task.error().code}});
        (void)exchange.reply(400, headers, describeError(task.error().code), std::chrono::steady_clock::now() + PeerReplyTimeout);
        return;
    }
    const TimePoint deadline = task->deadline;
    const std::string service = task->service;
    const InstanceGroup group = task->group;
    const auto progress = makeRef<WakeupSignal>();
    const auto run = makeRef<StageRun>(std::move(*task), progress);
    {
        const Lock lock(m_mutex);
        m_taskSignals.insert(progress.get());
    }
    m_stages.submit(run);
    std::optional<Result<std::vector<std::string>>> outcome;
    while (!outcome) {
        const auto raised = awaitSignal(*progress, exchange, deadline);
        outcome = run->outcome();
        const Lock lock(m_mutex);
        if (!outcome && (!raised || m_returningTasks)) {
            outcome = raised ? fail(ErrorCode::PeerUnavailable) : Result<std::vector<std::string>>(tl::unexpected(raised.error()));
        }
        if (outcome) {
            m_taskSignals.erase(progress.get());
        }
    }
    if (!*outcome) {
        run->cancel();
        m_stages.release(run->takeUnused());
    }
    Json body = *outcome ? Json{{"handles", **outcome}} : Json{{"error", static_cast<int>(outcome->error().code)}};
    body["wait_ms"] = toMilliseconds(m_stages.expectedWait(service, group)).count();
    const bool delivered = exchange.reply(200, headers, body.dump(), std::chrono::steady_clock::now() + PeerReplyTimeout);
    if (!delivered && *outcome) {
        m_stages.release(**outcome);
    }
}

void PeerHandler::returnTasks()
{
    const Lock lock(m_mutex);
    m_returningTasks = true;
    for (WakeupSignal *signal : m_taskSignals) {
        signal->raise();
    }
}

void PeerHandler::serveRelease(FrontExchange &exchange)
{
    Headers headers;
    headers.add("Content-Type", "application/json");
    const TimePoint until = std::chrono::steady_clock::now() + PeerReplyTimeout;
    try {
        m_stages.release(Json::parse(exchange.body()).at("handles").get<std::vector<std::string>>());
        (void)exchange.reply(200, headers, "{}", until);
    } catch (const Json::exception &) {
        logEvent(LogLevel::Warning, "peer.release_unreadable", {{"error", ErrorCode::MalformedRequest}});
        (void)exchange.reply(400, headers, describeError(ErrorCode::MalformedRequest), until);
    }
}

std::string encodeMember(const MemberRecord &member)
{
    return Json{{"data_centre", member.dataCentre}, {"peer_address", member.peerAddress}, {"incarnation", member.incarnation}, {"cores", member.cores},
                {"link_mbps", member.linkMbps},     {"keeps_scopes", member.keepsScopes}}
        .dump();
}

Result<MemberRecord> decodeMember(const std::string &name, const std::string &json)
{
    try {
        const Json document = Json::parse(json);
        MemberRecord member;
        member.name = name;
        member.dataCentre = document.at("data_centre").get<std::string>();
        member.peerAddress = document.at("peer_address").get<std::string>();
        member.cores = document.value("cores", member.cores);
        member.linkMbps = document.value("link_mbps", member.linkMbps);
        member.keepsScopes = document.value("keeps_scopes", false);
        member.incarnation = document.at("incarnation").get<std::uint64_t>();
        return member;
    } catch (const Json::exception &exception) {
        return fail(ErrorCode::DocumentInvalid, exception.what());
    }
}

} // namespace vanillanotch
