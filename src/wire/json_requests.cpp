// Index of sections: [CALLERS] [OPERATORS] [STORES]
#include "wire/wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillanotch
{

using Json = nlohmann::json;

namespace
{
// Invalid UTF-8 from a backend server becomes U+FFFD instead of an exception.
std::string dumped(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Json dataToJson(const StageData &data)
{
    return Json{{"input", data.input}, {"embedding", data.embedding}, {"documents", data.documents},
                {"text", data.text},   {"tokens", data.tokens},       {"service_results", data.serviceResults}};
}

StageData dataFromJson(const Json &json)
{
    StageData data;
    data.input = json.at("input").get<std::string>();
    data.embedding = json.at("embedding").get<std::vector<float>>();
    data.documents = json.at("documents").get<std::vector<std::string>>();
    data.text = json.at("text").get<std::string>();
    data.tokens = json.at("tokens").get<unsigned>();
    data.serviceResults = json.at("service_results").get<std::map<std::string, std::string>>();
    return data;
}

Json stagesToJson(const std::vector<StageReport> &stages)
{
    Json list = Json::array();
    for (const StageReport &stage : stages) {
        list.push_back(
            Json{{"stage", stage.stage}, {"server", stage.server}, {"attempts", stage.attempts}, {"time_ms", milliseconds(stage.time)}, {"cost", stage.cost}});
    }
    return list;
}
} // namespace

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
    return dumped(Json{{"request", answer.request},
                       {"pipeline", answer.pipeline},
                       {"revision", answer.revision},
                       {"preset", answer.preset},
                       {"repeated", answer.repeated},
                       {"answer", Json{{"text", answer.data.text}, {"documents", answer.data.documents}, {"services", services}}},
                       {"tokens", answer.data.tokens},
                       {"time_ms", milliseconds(answer.time)},
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
    return dumped(Json{{"error", error}});
}

std::string encodeErrorDocument(ErrorCode code, const std::string &detail)
{
    return dumped(Json{{"error", Json{{"code", static_cast<int>(code)}, {"name", errorName(code)}, {"message", detail}}}});
}

std::string encodeTokenEvent(std::string_view token)
{
    // Written by hand: this runs for every token. Plain text needs no escapes.
    for (const char c : token) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < ' ' || byte >= 0x7f || c == '"' || c == '\\') {
            return dumped(Json{{"token", token}});
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
                                {"started_after_ms", milliseconds(attempt.startedAfter)},
                                {"time_ms", milliseconds(attempt.time)}});
    }
    return Json{{"id", view.id},
                {"pipeline", view.pipeline},
                {"revision", view.revision},
                {"preset", view.preset},
                {"state", requestStateName(view.state)},
                {"error", view.error},
                {"age_ms", milliseconds(view.age)},
                {"remaining_ms", milliseconds(view.remaining)},
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
                            {"average_ms", milliseconds(server.averageTime)},
                            {"calls", server.calls},
                            {"failures", server.failures}});
    }
    return dumped(Json{{"servers", list}});
}

std::string encodeMembers(const std::vector<MemberRecord> &members)
{
    Json list = Json::array();
    for (const MemberRecord &member : members) {
        list.push_back(memberToJson(member));
    }
    return dumped(Json{{"members", list}});
}

std::string encodeAccounts(const std::vector<AccountState> &accounts)
{
    Json list = Json::array();
    for (const AccountState &account : accounts) {
        list.push_back(Json{
            {"name", account.name}, {"tokens", account.tokens}, {"in_flight", account.inFlight}, {"admitted", account.admitted}, {"refused", account.refused}});
    }
    return dumped(Json{{"accounts", list}});
}

std::string encodeRequests(const std::vector<RequestView> &requests)
{
    Json list = Json::array();
    for (const RequestView &request : requests) {
        list.push_back(requestToJson(request));
    }
    return dumped(Json{{"requests", list}});
}

std::string encodeRequest(const RequestView &request)
{
    return dumped(requestToJson(request));
}

std::string encodeReport(const std::vector<CostRow> &costs, const std::vector<AttainmentRow> &attainment)
{
    Json stages = Json::array();
    for (const CostRow &row : costs) {
        stages.push_back(Json{{"pipeline", row.pipeline}, {"stage", row.stage}, {"calls", row.calls}, {"cost", row.cost}, {"time_ms", milliseconds(row.time)}});
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
    return dumped(Json{{"stages", stages}, {"pipelines", pipelines}});
}

std::string encodeSuspects(const std::vector<SuspectMark> &marks)
{
    Json list = Json::array();
    for (const SuspectMark &mark : marks) {
        list.push_back(Json{{"fingerprint", mark.fingerprint}, {"servers", mark.servers}, {"held_for_ms", mark.heldFor.count()}});
    }
    return dumped(Json{{"suspects", list}});
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
    return dumped(json);
}

//-----------------------------------------------------------------------------
// [STORES]
//-----------------------------------------------------------------------------

namespace
{
class JsonAnswerCodec final : public AnswerCodec
{
public:
    std::string encodeAnswer(const Answer &answer) const override
    {
        return dumped(Json{{"request", answer.request},
                           {"pipeline", answer.pipeline},
                           {"revision", answer.revision},
                           {"preset", answer.preset},
                           {"data", dataToJson(answer.data)},
                           {"stages", stagesToJson(answer.stages)},
                           {"time_ms", milliseconds(answer.time)}});
    }

    Result<Answer> decodeAnswer(const std::string &bytes) const override
    {
        try {
            const Json json = Json::parse(bytes);
            Answer answer;
            answer.request = json.at("request").get<std::string>();
            answer.pipeline = json.at("pipeline").get<std::string>();
            answer.revision = json.at("revision").get<Revision>();
            answer.preset = json.at("preset").get<std::string>();
            answer.data = dataFromJson(json.at("data"));
            answer.time = fromMilliseconds(json.at("time_ms").get<double>());
            for (const Json &item : json.at("stages")) {
                StageReport stage;
                stage.stage = item.at("stage").get<std::string>();
                stage.server = item.at("server").get<std::string>();
                stage.attempts = item.at("attempts").get<int>();
                stage.time = fromMilliseconds(item.at("time_ms").get<double>());
                stage.cost = item.at("cost").get<double>();
                answer.stages.push_back(std::move(stage));
            }
            return answer;
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PlatformReplyInvalid, exception.what());
        }
    }

private:
    static Duration fromMilliseconds(double count)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
    }
};

std::string storageName(const char *prefix, const JournalKey &key)
{
    // The account's name is checked; the caller's key may hold anything printable, so it goes in as a digest.
    return std::string(prefix) + key.account + "/" + sha256Hex(key.key);
}

constexpr std::array<std::string_view, 3> JournalStateNames{"reserved", "started", "finished"};

class TableJournal final : public JournalStore
{
public:
    explicit TableJournal(Table &table)
        : m_table(table)
    {
    }

    Result<std::optional<JournalRow>> read(const JournalKey &key) override
    {
        const auto row = m_table.read(storageName("journal/", key));
        if (!row) {
            return tl::unexpected(row.error());
        }
        if (!row->has_value()) {
            return std::optional<JournalRow>();
        }
        return decodeRow(**row);
    }

    Result<void> write(const JournalKey &key, const JournalEntry &entry, std::uint64_t expectedVersion) override
    {
        const auto expires = std::chrono::duration_cast<std::chrono::milliseconds>(entry.expiresAt.time_since_epoch());
        const Json json{{"state", JournalStateNames.at(static_cast<std::size_t>(entry.state))},
                        {"token", entry.token},
                        {"body_sha256", entry.bodyDigest},
                        {"attempt", entry.attempt},
                        {"expires_at_ms", expires.count()},
                        {"answer", entry.answer}};
        return m_table.commit({Write{storageName("journal/", key), dumped(json), expectedVersion}});
    }

private:
    static Result<std::optional<JournalRow>> decodeRow(const Row &row)
    {
        try {
            const Json json = Json::parse(row.value);
            JournalRow decoded;
            decoded.version = row.version;
            const std::string state = json.at("state").get<std::string>();
            const auto found = std::find(JournalStateNames.begin(), JournalStateNames.end(), state);
            if (found == JournalStateNames.end()) {
                return fail(ErrorCode::PlatformReplyInvalid, "unknown state in a journal row");
            }
            decoded.entry.state = static_cast<JournalState>(found - JournalStateNames.begin());
            decoded.entry.token = json.at("token").get<std::string>();
            decoded.entry.bodyDigest = json.at("body_sha256").get<std::string>();
            decoded.entry.attempt = json.at("attempt").get<std::string>();
            decoded.entry.expiresAt = WallTime(std::chrono::milliseconds(json.at("expires_at_ms").get<std::int64_t>()));
            decoded.entry.answer = json.at("answer").get<std::string>();
            return std::optional<JournalRow>(std::move(decoded));
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PlatformReplyInvalid, exception.what());
        }
    }

    Table &m_table;
};

class ObjectResults final : public KeptResults
{
public:
    explicit ObjectResults(ObjectStore &objects)
        : m_objects(objects)
    {
    }

    Result<std::optional<RecordedAnswer>> findAnswer(const JournalKey &key) override
    {
        return find<RecordedAnswer>(storageName("answers/", key), [](const Json &json) {
            return RecordedAnswer{json.at("body_sha256").get<std::string>(), json.at("answer").get<std::string>()};
        });
    }

    Result<RecordedAnswer> recordAnswer(const JournalKey &key, const RecordedAnswer &answer) override
    {
        constexpr int Tries = 3;
        const std::string bytes = dumped(Json{{"body_sha256", answer.bodyDigest}, {"answer", answer.answer}});
        Error last{ErrorCode::PlatformUnavailable, {}};
        for (int attempt = 0; attempt < Tries; ++attempt) {
            const auto inserted = m_objects.insert(storageName("answers/", key), bytes);
            if (inserted) {
                return answer;
            }
            last = inserted.error();
            const auto first = findAnswer(key); // also settles a lost answer: then it finds its own
            if (first && first->has_value()) {
                return **first;
            }
        }
        return tl::unexpected(last);
    }

    Result<std::optional<KeptResult>> findStages(const JournalKey &key) override
    {
        return find<KeptResult>(storageName("stages/", key), [](const Json &json) {
            return KeptResult{json.at("body_sha256").get<std::string>(), json.at("stages_done").get<std::size_t>(), dataFromJson(json.at("data"))};
        });
    }

    Result<void> keepStages(const JournalKey &key, const KeptResult &result) override
    {
        const Json json{{"body_sha256", result.bodyDigest}, {"stages_done", result.stagesDone}, {"data", dataToJson(result.data)}};
        return m_objects.write(storageName("stages/", key), dumped(json));
    }

private:
    template<typename T, typename Decoder>
    Result<std::optional<T>> find(const std::string &name, const Decoder &decoder)
    {
        const auto bytes = m_objects.read(name);
        if (!bytes) {
            if (bytes.error().code == ErrorCode::ObjectNotFound) {
                return std::optional<T>();
            }
            return tl::unexpected(bytes.error());
        }
        try {
            return std::optional<T>(decoder(Json::parse(*bytes)));
        } catch (const Json::exception &exception) {
            return fail(ErrorCode::PlatformReplyInvalid, exception.what());
        }
    }

    ObjectStore &m_objects;
};
} // namespace

std::unique_ptr<AnswerCodec> makeAnswerCodec()
{
    return std::make_unique<JsonAnswerCodec>();
}

std::unique_ptr<JournalStore> makeTableJournal(Table &table)
{
    return std::make_unique<TableJournal>(table);
}

std::unique_ptr<KeptResults> makeObjectResults(ObjectStore &objects)
{
    return std::make_unique<ObjectResults>(objects);
}

} // namespace vanillanotch
