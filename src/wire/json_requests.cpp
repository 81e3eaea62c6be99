// JSON bodies of callers' and operators' requests and replies; json_stores.cpp has what is stored on the platform.
//
// Index of sections: [CALLERS] [OPERATORS]
#include "wire/json_parts.h"

#include <algorithm>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [CALLERS]
//-----------------------------------------------------------------------------

Result<SubmissionDocument> decodeSubmission(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return fail(ErrorCode::MalformedRequest, "the body must be a JSON object");
    }
    SubmissionDocument document;
    for (const auto &[name, value] : json.items()) {
        if (name == "input") {
            if (!value.is_string()) {
                return fail(ErrorCode::MalformedRequest, "input must be a string");
            }
            document.input = value.get<std::string>();
        } else if (name == "deadline_ms") {
            // Larger values than 2^40 ms (about 35 years) are refused, so that the time in nanoseconds fits into 64 bits.
            if (!value.is_number_integer() || value.get<std::int64_t>() > std::int64_t{1} << 40) {
                return fail(ErrorCode::InvalidDeadline, "deadline_ms must be a whole number of milliseconds");
            }
            document.deadline = std::chrono::milliseconds(value.get<std::int64_t>());
        } else if (name == "stream") {
            if (!value.is_boolean()) {
                return fail(ErrorCode::MalformedRequest, "stream must be true or false");
            }
            document.stream = value.get<bool>();
        } else {
            return fail(ErrorCode::MalformedRequest, "allowed members are input, deadline_ms and stream");
        }
    }
    if (json.count("input") == 0) {
        return fail(ErrorCode::MalformedRequest, "input is missing");
    }
    return document;
}

std::string encodeAnswerDocument(const Answer &answer)
{
    Json services = Json::object();
    for (const auto &[stage, result] : answer.data.serviceResults) {
        services[stage] = Json::parse(result, nullptr, false);
    }
    return dumpJson(Json{{"request", answer.request},
                         {"pipeline", answer.pipeline},
                         {"revision", answer.revision},
                         {"preset", answer.preset},
                         {"repeated", answer.repeated},
                         {"answer", Json{{"text", answer.data.text}, {"documents", answer.data.documents}, {"services", services}}},
                         {"tokens", answer.data.tokens},
                         {"time_ms", millisecondCount(answer.time)},
                         {"cost", answer.cost()},
                         {"stages", stagesToJson(answer.stages)}});
}

std::string encodeRefusalDocument(const Refusal &refusal)
{
    Json error{{"code", static_cast<int>(refusal.code)},
               {"name", errorName(refusal.code)},
               {"message", refusal.detail},
               {"outcome", outcomeName(refusal.outcome)},
               {"effect_possible", refusal.effectPossible}};
    if (!refusal.request.empty()) {
        error["request"] = refusal.request;
    }
    return dumpJson(Json{{"error", error}});
}

std::string encodeErrorDocument(ErrorCode code, const std::string &detail)
{
    return dumpJson(Json{{"error", Json{{"code", static_cast<int>(code)}, {"name", errorName(code)}, {"message", detail}}}});
}

std::string encodeTokenEvent(std::string_view token)
{
    // This runs for every token, so text that needs no escapes is written directly, without a JSON value.
    for (const char c : token) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < ' ' || byte >= 0x7f || c == '"' || c == '\\') {
            return dumpJson(Json{{"token", token}});
        }
    }
    std::string text = R"({"token":")";
    text += token;
    text += "\"}";
    return text;
}

int httpStatusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::MalformedRequest:
    case ErrorCode::HeaderTooLarge:
    case ErrorCode::InvalidDeadline:
    case ErrorCode::MissingIdempotencyKey:
    case ErrorCode::InvalidIdempotencyKey:
    case ErrorCode::InvalidConfiguration:
    case ErrorCode::InvalidArgument:
        return 400;
    case ErrorCode::MissingCredentials:
    case ErrorCode::UnknownCredentials:
        return 401;
    case ErrorCode::PipelineNotAllowed:
        return 403;
    case ErrorCode::UnknownPath:
    case ErrorCode::UnknownPipeline:
    case ErrorCode::UnknownPreset:
    case ErrorCode::UnknownEntry:
    case ErrorCode::ObjectNotFound:
        return 404;
    case ErrorCode::ReadTimeout:
        return 408;
    case ErrorCode::KeyReused:
    case ErrorCode::KeyInProgress:
    case ErrorCode::KeyOutcomeUnknown:
    case ErrorCode::ReservationLost:
    case ErrorCode::RevisionConflict:
    case ErrorCode::ConditionFailed:
        return 409;
    case ErrorCode::BodyTooLarge:
        return 413;
    case ErrorCode::AccountRateExceeded:
    case ErrorCode::AccountConcurrencyExceeded:
        return 429;
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectionLost:
    case ErrorCode::ServerRejected:
    case ErrorCode::InvalidReply:
    case ErrorCode::AttemptMismatch:
        return 502;
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::ServerTimeout:
        return 504;
    default:
        return 503;
    }
}

//-----------------------------------------------------------------------------
// [OPERATORS]
//-----------------------------------------------------------------------------

namespace
{
Json memberToJson(const MemberRecord &member)
{
    return Json{{"name", member.name},
                {"data_centre", member.dataCentre},
                {"peer_address", member.peerAddress},
                {"operator_address", member.operatorAddress},
                {"state", memberStateName(member.state)},
                {"revision", member.revision}};
}

Json requestToJson(const RequestView &view)
{
    Json attempts = Json::array();
    for (const AttemptRecord &attempt : view.attempts) {
        attempts.push_back(Json{{"id", attempt.id},
                                {"stage", attempt.stage},
                                {"server", attempt.server},
                                {"verdict", attempt.verdict},
                                {"started_after_ms", millisecondCount(attempt.startedAfter)},
                                {"time_ms", millisecondCount(attempt.time)}});
    }
    return Json{{"id", view.id},
                {"pipeline", view.pipeline},
                {"revision", view.revision},
                {"preset", view.preset},
                {"state", requestStateName(view.state)},
                {"error", view.error},
                {"age_ms", millisecondCount(view.age)},
                {"remaining_ms", millisecondCount(view.remaining)},
                {"attempts", attempts}};
}
} // namespace

std::string encodeServers(const std::vector<ServerState> &servers)
{
    Json list = Json::array();
    for (const ServerState &server : servers) {
        list.push_back(Json{{"name", server.name},
                            {"data_centre", server.dataCentre},
                            {"in_flight", server.inFlight},
                            {"concurrency", server.concurrency},
                            {"reported_load", server.reportedLoad},
                            {"failures_in_a_row", server.failuresInARow},
                            {"quarantined", server.quarantined},
                            {"leaving", server.leaving},
                            {"average_ms", millisecondCount(server.averageTime)},
                            {"calls", server.calls},
                            {"failures", server.failures}});
    }
    return dumpJson(Json{{"servers", list}});
}

std::string encodeMembers(const std::vector<MemberRecord> &members)
{
    Json list = Json::array();
    for (const MemberRecord &member : members) {
        list.push_back(memberToJson(member));
    }
    return dumpJson(Json{{"members", list}});
}

std::string encodeAccounts(const std::vector<AccountState> &accounts)
{
    Json list = Json::array();
    for (const AccountState &account : accounts) {
        list.push_back(Json{
            {"name", account.name}, {"tokens", account.tokens}, {"in_flight", account.inFlight}, {"admitted", account.admitted}, {"refused", account.refused}});
    }
    return dumpJson(Json{{"accounts", list}});
}

std::string encodeRequests(const std::vector<RequestView> &requests)
{
    Json list = Json::array();
    for (const RequestView &request : requests) {
        list.push_back(requestToJson(request));
    }
    return dumpJson(Json{{"requests", list}});
}

std::string encodeRequest(const RequestView &request)
{
    return dumpJson(requestToJson(request));
}

std::string encodeReport(const std::vector<CostRow> &costs, const std::vector<AttainmentRow> &attainment)
{
    Json stages = Json::array();
    for (const CostRow &row : costs) {
        stages.push_back(
            Json{{"pipeline", row.pipeline}, {"stage", row.stage}, {"calls", row.runs}, {"cost", row.cost}, {"time_ms", millisecondCount(row.time)}});
    }
    Json pipelines = Json::array();
    for (const AttainmentRow &row : attainment) {
        const std::uint64_t total = row.finished + row.late + row.refused;
        pipelines.push_back(Json{{"pipeline", row.pipeline},
                                 {"finished", row.finished},
                                 {"late", row.late},
                                 {"refused", row.refused},
                                 {"attainment", total == 0 ? 1.0 : static_cast<double>(row.finished) / static_cast<double>(total)}});
    }
    return dumpJson(Json{{"stages", stages}, {"pipelines", pipelines}});
}

std::string encodeSuspects(const std::vector<SuspectMark> &marks)
{
    Json list = Json::array();
    for (const SuspectMark &mark : marks) {
        list.push_back(Json{{"fingerprint", mark.fingerprint}, {"servers", mark.servers}, {"held_for_ms", mark.remaining.count()}});
    }
    return dumpJson(Json{{"suspects", list}});
}

std::string encodeStatus(const NodeStatus &status, const std::vector<MemberRecord> &members)
{
    Json json = memberToJson(status.self);
    json["preset"] = status.preset;
    json["ready"] = status.ready;
    json["leaving"] = status.leaving;
    json["running"] = status.running;
    Json list = Json::array();
    for (const MemberRecord &member : members) {
        list.push_back(memberToJson(member));
    }
    json["members"] = list;
    return dumpJson(json);
}

} // namespace vanillanotch
