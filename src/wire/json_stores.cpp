// JSON values of what is stored on the platform: rows of the journal (the state of idempotency keys), recorded answers, and checkpoints
// (kept results of stages).
#include "wire/json_parts.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
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

class JsonAnswerCodec final : public AnswerCodec
{
public:
    std::string encodeAnswer(const Answer &answer) const override
    {
        return dumpJson(Json{{"request", answer.request},
                             {"pipeline", answer.pipeline},
                             {"revision", answer.revision},
                             {"preset", answer.preset},
                             {"data", dataToJson(answer.data)},
                             {"stages", stagesToJson(answer.stages)},
                             {"time_ms", millisecondCount(answer.time)}});
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

std::string storageKey(const char *prefix, const JournalKey &key)
{
    // The configuration restricts the characters of an account's name, so the name is used as it is. An idempotency key may hold any
    // printable character, so its digest is used.
    return std::string(prefix) + key.account + "/" + sha256Hex(key.key);
}

// Stored names of the values of JournalState, in its order.
constexpr std::array<std::string_view, 3> JournalStateNames{"reserved", "started", "finished"};

// Keeps the journal in the platform's table. Key of a row: "journal/ACCOUNT/SHA256 of the idempotency key".
class TableJournalStore final : public JournalStore
{
public:
    explicit TableJournalStore(Table &table)
        : m_table(table)
    {
    }

    Result<std::optional<JournalRow>> read(const JournalKey &key) override
    {
        const auto row = m_table.read(storageKey("journal/", key));
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
                        {"token", entry.holderToken},
                        {"body_sha256", entry.bodyDigest},
                        {"attempt", entry.attempt},
                        {"expires_at_ms", expires.count()},
                        {"answer", entry.answer}};
        return m_table.commit({Write{storageKey("journal/", key), dumpJson(json), expectedVersion}});
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
            decoded.entry.holderToken = json.at("token").get<std::string>();
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

// Keeps recorded answers and checkpoints in the platform's object store. Names of the objects: "answers/ACCOUNT/SHA256 of the idempotency key"
// for answers, "stages/ACCOUNT/SHA256 of the idempotency key" for checkpoints.
class ObjectAnswerStore final : public AnswerStore
{
public:
    explicit ObjectAnswerStore(ObjectStore &objects)
        : m_objects(objects)
    {
    }

    Result<std::optional<RecordedAnswer>> findAnswer(const JournalKey &key) override
    {
        return find<RecordedAnswer>(storageKey("answers/", key), [](const Json &json) {
            return RecordedAnswer{json.at("body_sha256").get<std::string>(), json.at("answer").get<std::string>()};
        });
    }

    Result<RecordedAnswer> recordAnswer(const JournalKey &key, const RecordedAnswer &answer) override
    {
        constexpr int MaxAttempts = 3;
        const std::string bytes = dumpJson(Json{{"body_sha256", answer.bodyDigest}, {"answer", answer.answer}});
        Error lastError{ErrorCode::PlatformUnavailable, {}};
        for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
            const auto inserted = m_objects.insert(storageKey("answers/", key), bytes);
            if (inserted) {
                return answer;
            }
            lastError = inserted.error();
            // The insert failed. The object may hold an answer that was recorded before, or `answer` itself when only the reply to the insert was lost.
            const auto recorded = findAnswer(key);
            if (recorded && recorded->has_value()) {
                return **recorded;
            }
        }
        return tl::unexpected(lastError);
    }

    Result<std::optional<StageCheckpoint>> findCheckpoint(const JournalKey &key) override
    {
        return find<StageCheckpoint>(storageKey("stages/", key), [](const Json &json) {
            return StageCheckpoint{json.at("body_sha256").get<std::string>(), json.at("stages_done").get<std::size_t>(), dataFromJson(json.at("data"))};
        });
    }

    Result<void> saveCheckpoint(const JournalKey &key, const StageCheckpoint &checkpoint) override
    {
        const Json json{{"body_sha256", checkpoint.bodyDigest}, {"stages_done", checkpoint.stagesDone}, {"data", dataToJson(checkpoint.data)}};
        return m_objects.write(storageKey("stages/", key), dumpJson(json));
    }

private:
    // Reads and decodes an object; nullopt when there is none of this name.
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

std::unique_ptr<JournalStore> makeTableJournalStore(Table &table)
{
    return std::make_unique<TableJournalStore>(table);
}

std::unique_ptr<AnswerStore> makeObjectAnswerStore(ObjectStore &objects)
{
    return std::make_unique<ObjectAnswerStore>(objects);
}

} // namespace vanillanotch
