// Configuration entries, changes and the outcomes of changes as JSON; stores of the configuration, of duties and of orders to model
// engines in the platform's table and object store. A duty is a task that one node does for others.
#include "wire/wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillanotch
{

using Json = nlohmann::json;

namespace
{
Json toJson(const DataCentreSpec &spec)
{
    return Json{{"name", spec.name}, {"region", spec.region}, {"one_way_delay_us", spec.oneWayDelay.count()}};
}

Json toJson(const BackendServerSpec &spec)
{
    return Json{{"name", spec.name},
                {"data_centre", spec.dataCentre},
                {"address", spec.address},
                {"capabilities", spec.capabilities},
                {"concurrency", spec.concurrency},
                {"price_per_second", spec.pricePerSecond},
                {"checks_fencing", spec.checksFencing},
                {"draining", spec.draining},
                {"wanted_model", spec.wantedModel},
                {"software_version", spec.softwareVersion}};
}

Json toJson(const StageSpec &spec)
{
    return Json{{"name", spec.name},           {"kind", stageKindName(spec.kind)},       {"capability", spec.capability}, {"path", spec.path},
                {"model", spec.model},         {"typical_ms", spec.typicalTime.count()}, {"idempotent", spec.idempotent}, {"keep_result", spec.keepResult},
                {"max_tokens", spec.maxTokens}};
}

Json toJson(const PipelineSpec &spec)
{
    Json stages = Json::array();
    for (const StageSpec &stage : spec.stages) {
        stages.push_back(toJson(stage));
    }
    return Json{{"name", spec.name}, {"stages", stages}, {"deadline_limit_ms", spec.deadlineLimit.count()}, {"record_answer", spec.recordAnswer}};
}

Json toJson(const ClientAccountSpec &spec)
{
    return Json{{"name", spec.name},   {"key_sha256", spec.keyDigest},    {"requests_per_second", spec.requestsPerSecond},
                {"burst", spec.burst}, {"concurrency", spec.concurrency}, {"pipelines", spec.pipelines}};
}

Json toJson(const PresetSpec &spec)
{
    return Json{{"name", spec.name},
                {"cost_weight", spec.costWeight},
                {"retry_share", spec.retryShare},
                {"admission_margin", spec.admissionMargin},
                {"account_share", spec.accountShare}};
}

Json toJson(const PresetInForce &spec)
{
    return Json{{"preset", spec.preset}};
}

DataCentreSpec dataCentreFrom(const Json &json)
{
    DataCentreSpec spec;
    spec.name = json.at("name").get<std::string>();
    spec.region = json.at("region").get<std::string>();
    spec.oneWayDelay = std::chrono::microseconds(json.at("one_way_delay_us").get<std::int64_t>());
    return spec;
}

BackendServerSpec serverFrom(const Json &json)
{
    BackendServerSpec spec;
    spec.name = json.at("name").get<std::string>();
    spec.dataCentre = json.at("data_centre").get<std::string>();
    spec.address = json.at("address").get<std::string>();
    spec.capabilities = json.at("capabilities").get<std::set<std::string>>();
    spec.concurrency = json.at("concurrency").get<unsigned>();
    spec.pricePerSecond = json.at("price_per_second").get<double>();
    spec.checksFencing = json.at("checks_fencing").get<bool>();
    spec.draining = json.at("draining").get<bool>();
    spec.wantedModel = json.value("wanted_model", std::string());
    spec.softwareVersion = json.value("software_version", std::string());
    return spec;
}

StageSpec stageFrom(const Json &json)
{
    StageSpec spec;
    spec.name = json.at("name").get<std::string>();
    spec.kind = stageKindFromName(json.at("kind").get<std::string>()).value_or(StageKind::Service);
    spec.capability = json.at("capability").get<std::string>();
    spec.path = json.at("path").get<std::string>();
    spec.model = json.at("model").get<std::string>();
    spec.typicalTime = std::chrono::milliseconds(json.at("typical_ms").get<std::int64_t>());
    spec.idempotent = json.at("idempotent").get<bool>();
    spec.keepResult = json.at("keep_result").get<bool>();
    spec.maxTokens = json.at("max_tokens").get<unsigned>();
    return spec;
}

PipelineSpec pipelineFrom(const Json &json)
{
    PipelineSpec spec;
    spec.name = json.at("name").get<std::string>();
    for (const Json &stage : json.at("stages")) {
        spec.stages.push_back(stageFrom(stage));
    }
    spec.deadlineLimit = std::chrono::milliseconds(json.at("deadline_limit_ms").get<std::int64_t>());
    spec.recordAnswer = json.at("record_answer").get<bool>();
    return spec;
}

ClientAccountSpec accountFrom(const Json &json)
{
    ClientAccountSpec spec;
    spec.name = json.at("name").get<std::string>();
    spec.keyDigest = json.at("key_sha256").get<std::string>();
    spec.requestsPerSecond = json.at("requests_per_second").get<double>();
    spec.burst = json.at("burst").get<unsigned>();
    spec.concurrency = json.at("concurrency").get<unsigned>();
    spec.pipelines = json.at("pipelines").get<std::set<std::string>>();
    return spec;
}

PresetSpec presetFrom(const Json &json)
{
    PresetSpec spec;
    spec.name = json.at("name").get<std::string>();
    spec.costWeight = json.at("cost_weight").get<double>();
    spec.retryShare = json.at("retry_share").get<double>();
    spec.admissionMargin = json.at("admission_margin").get<double>();
    spec.accountShare = json.at("account_share").get<double>();
    return spec;
}

Json entryToJson(const Entry &entry)
{
    Json json = std::visit(
        [](const auto &spec) {
            return toJson(spec);
        },
        entry.body);
    json["kind_of_entry"] = entryKindName(entry.key().kind);
    return json;
}

Entry entryFromJson(const Json &json)
{
    const auto kind = entryKindFromName(json.at("kind_of_entry").get<std::string>());
    switch (kind.value_or(EntryKind::PresetInForce)) {
    case EntryKind::DataCentre:
        return Entry{dataCentreFrom(json)};
    case EntryKind::BackendServer:
        return Entry{serverFrom(json)};
    case EntryKind::Pipeline:
        return Entry{pipelineFrom(json)};
    case EntryKind::ClientAccount:
        return Entry{accountFrom(json)};
    case EntryKind::Preset:
        return Entry{presetFrom(json)};
    case EntryKind::PresetInForce:
        break;
    }
    return Entry{PresetInForce{json.at("preset").get<std::string>()}};
}

std::int64_t millisecondsSinceEpoch(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

// Parses the text and passes it to the decoder; fails with `code` when either throws a JSON exception.
template<typename T, typename Decoder>
Result<T> decodeJson(const std::string &text, ErrorCode code, const Decoder &decoder)
{
    try {
        return decoder(Json::parse(text));
    } catch (const Json::exception &exception) {
        return fail(code, exception.what());
    }
}
} // namespace

std::string encodeEntry(const Entry &entry)
{
    return entryToJson(entry).dump();
}

Result<Entry> decodeEntry(const std::string &text)
{
    return decodeJson<Entry>(text, ErrorCode::InvalidConfiguration, entryFromJson);
}

std::string encodeChange(const Change &change)
{
    Json upserts = Json::array();
    for (const Entry &entry : change.upserts) {
        upserts.push_back(entryToJson(entry));
    }
    Json deletes = Json::array();
    for (const EntryKey &key : change.deletes) {
        deletes.push_back(Json{{"kind", entryKindName(key.kind)}, {"name", key.name}});
    }
    return Json{{"revision", change.revision},
                {"id", change.id},
                {"author", change.author},
                {"summary", change.summary},
                {"accepted_at_ms", millisecondsSinceEpoch(change.acceptedAt)},
                {"upserts", upserts},
                {"deletes", deletes}}
        .dump();
}

Result<Change> decodeChange(const std::string &text)
{
    return decodeJson<Change>(text, ErrorCode::InvalidConfiguration, [](const Json &json) {
        Change change;
        change.revision = json.at("revision").get<Revision>();
        change.id = json.at("id").get<std::string>();
        change.author = json.at("author").get<std::string>();
        change.summary = json.at("summary").get<std::string>();
        change.acceptedAt = WallTime(std::chrono::milliseconds(json.at("accepted_at_ms").get<std::int64_t>()));
        for (const Json &entry : json.at("upserts")) {
            change.upserts.push_back(entryFromJson(entry));
        }
        for (const Json &key : json.at("deletes")) {
            const auto kind = entryKindFromName(key.at("kind").get<std::string>());
            change.deletes.push_back(EntryKey{kind.value_or(EntryKind::PresetInForce), key.at("name").get<std::string>()});
        }
        return change;
    });
}

std::string encodeChangeOutcome(const ChangeOutcome &outcome)
{
    return Json{{"revision", outcome.revision}, {"changed", outcome.changed}, {"entries", outcome.entries}}.dump();
}

std::string encodeAudit(const std::vector<Change> &changes)
{
    Json list = Json::array();
    for (const Change &change : changes) {
        Json entries = Json::array();
        for (const Entry &entry : change.upserts) {
            entries.push_back("+" + std::string(entryKindName(entry.key().kind)) + "/" + entry.key().name);
        }
        for (const EntryKey &key : change.deletes) {
            entries.push_back("-" + std::string(entryKindName(key.kind)) + "/" + key.name);
        }
        list.push_back(Json{{"revision", change.revision},
                            {"from", change.revision - 1},
                            {"author", change.author},
                            {"accepted_at", formatWallTime(change.acceptedAt)},
                            {"summary", change.summary},
                            {"entries", entries}});
    }
    return Json{{"changes", list}}.dump();
}

//-----------------------------------------------------------------------------
// Configuration in the platform's table and object store
//-----------------------------------------------------------------------------

namespace
{
constexpr const char *HeadKey = "configuration/head"; // row that holds the newest revision
constexpr const char *ChangePrefix = "configuration/change/";
constexpr const char *SnapshotName = "configuration/snapshot"; // object that names the snapshot's revision and number of pages

// The revision is padded to 20 digits, the most that 64 bits need, so that keys sort in the order of revisions.
std::string changeKey(Revision revision)
{
    std::string digits = std::to_string(revision);
    return ChangePrefix + std::string(20 - digits.size(), '0') + digits;
}

// Keeps the number of the newest revision in one row and each change in a row of its own. A snapshot of the whole configuration, split into
// pages, is kept in objects.
class TableConfigurationStore final : public ConfigurationStore
{
public:
    TableConfigurationStore(Table &table, ObjectStore &objects)
        : m_table(table)
        , m_objects(objects)
    {
    }

    Result<Revision> readHead() override
    {
        const auto row = m_table.read(HeadKey);
        if (!row) {
            return tl::unexpected(row.error());
        }
        // Each change writes the head row exactly once, so the row's version equals the revision. When the row doesn't exist, no change was made yet, and the
        // revision is 0.
        return row->has_value() ? (*row)->version : 0;
    }

    Result<std::vector<Change>> readChanges(Revision after, std::size_t limit) override
    {
        const auto rows = m_table.scan(ChangePrefix, changeKey(after), limit);
        if (!rows) {
            return tl::unexpected(rows.error());
        }
        std::vector<Change> changes;
        for (const Row &row : *rows) {
            auto change = decodeChange(row.value);
            if (!change) {
                return tl::unexpected(change.error());
            }
            changes.push_back(std::move(*change));
        }
        return changes;
    }

    Result<void> commit(const Change &change) override
    {
        return m_table.commit({Write{HeadKey, std::to_string(change.revision), change.revision - 1}, //
                               Write{changeKey(change.revision), encodeChange(change), RowAbsent}});
    }

    Result<std::pair<Revision, std::vector<Entry>>> readSnapshot() override
    {
        const auto bytes = m_objects.read(SnapshotName);
        if (!bytes) {
            return tl::unexpected(bytes.error());
        }
        const auto index = decodeJson<SnapshotIndex>(*bytes, ErrorCode::PlatformReplyInvalid, [](const Json &json) {
            return SnapshotIndex{json.at("revision").get<Revision>(), json.at("pages").get<std::size_t>()};
        });
        if (!index) {
            return tl::unexpected(index.error());
        }
        std::vector<Entry> entries;
        for (std::size_t page = 0; page < index->pages; ++page) {
            if (const auto read = readPage(pageName(index->revision, page), entries); !read) {
                return tl::unexpected(read.error());
            }
        }
        return std::pair(index->revision, std::move(entries));
    }

    Result<void> writeSnapshot(Revision revision, const std::vector<Entry> &entries) override
    {
        std::size_t pages = 0;
        for (std::size_t first = 0; first < entries.size(); first += EntriesPerPage) {
            Json list = Json::array();
            for (std::size_t i = first; i < std::min(first + EntriesPerPage, entries.size()); ++i) {
                list.push_back(entryToJson(entries[i]));
            }
            if (auto written = m_objects.write(pageName(revision, pages++), list.dump()); !written) {
                return written;
            }
        }
        // The object SnapshotName is written last, after all pages: until then it names the former snapshot, which readers still use.
        return m_objects.write(SnapshotName, Json{{"revision", revision}, {"pages", pages}}.dump());
    }

private:
    // A snapshot is split into pages to limit the memory that is used while it is read or written.
    static constexpr std::size_t EntriesPerPage = 500;

    struct SnapshotIndex {
        Revision revision = 0;
        std::size_t pages = 0;
    };

    static std::string pageName(Revision revision, std::size_t page)
    {
        return std::string(SnapshotName) + "/" + std::to_string(revision) + "/" + std::to_string(page);
    }

    Result<void> readPage(const std::string &name, std::vector<Entry> &entries)
    {
        const auto bytes = m_objects.read(name);
        if (!bytes) {
            return tl::unexpected(bytes.error());
        }
        const auto page = decodeJson<std::vector<Entry>>(*bytes, ErrorCode::PlatformReplyInvalid, [](const Json &json) {
            std::vector<Entry> list;
            for (const Json &entry : json) {
                list.push_back(entryFromJson(entry));
            }
            return list;
        });
        if (!page) {
            return tl::unexpected(page.error());
        }
        entries.insert(entries.end(), page->begin(), page->end());
        return {};
    }

    Table &m_table;
    ObjectStore &m_objects;
};
} // namespace

//-----------------------------------------------------------------------------
// Duties and engine orders in the platform's table
//-----------------------------------------------------------------------------

namespace
{
// Keeps the holder of each duty in the row "duty/NAME". Each new holder gets a higher fencing number. The row "order/SERVER" keeps the
// last order to a model engine that doesn't check fencing numbers.
class TableDutyStore final : public DutyStore
{
public:
    explicit TableDutyStore(Table &table)
        : m_table(table)
    {
    }

    Result<std::optional<DutyRow>> read(const std::string &duty) override
    {
        const auto row = m_table.read("duty/" + duty);
        if (!row) {
            return tl::unexpected(row.error());
        }
        if (!row->has_value()) {
            return std::optional<DutyRow>();
        }
        const std::uint64_t version = (*row)->version;
        return decodeJson<std::optional<DutyRow>>((*row)->value, ErrorCode::PlatformReplyInvalid, [version](const Json &json) {
            return std::optional<DutyRow>(DutyRow{json.at("holder").get<std::string>(), json.at("fencing").get<std::uint64_t>(), version});
        });
    }

    Result<void> write(const std::string &duty, const DutyRow &row, std::uint64_t expectedVersion) override
    {
        return m_table.commit({Write{"duty/" + duty, Json{{"holder", row.holder}, {"fencing", row.fencingNumber}}.dump(), expectedVersion}});
    }

    // Records an order that is about to be sent to the server. ConditionFailed: a later holder of the duty has recorded an order, either before the
    // row is read here or between that read and the write, which is conditional on the version read.
    Result<void> recordOrder(const std::string &server, const EngineOrder &order) override
    {
        const std::string key = "order/" + server;
        const auto row = m_table.read(key);
        if (!row) {
            return tl::unexpected(row.error());
        }
        std::uint64_t version = RowAbsent;
        if (row->has_value()) {
            version = (*row)->version;
            const Json recorded = Json::parse((*row)->value, nullptr, false);
            if (recorded.is_object() && recorded.value("fencing", std::uint64_t{0}) > order.fencingNumber) {
                return fail(ErrorCode::ConditionFailed, "an order with a higher fencing number is recorded already");
            }
        }
        return m_table.commit({Write{key, Json{{"fencing", order.fencingNumber}, {"model", order.model}}.dump(), version}});
    }

private:
    Table &m_table;
};
} // namespace

std::unique_ptr<DutyStore> makeTableDutyStore(Table &table)
{
    return std::make_unique<TableDutyStore>(table);
}

std::unique_ptr<ConfigurationStore> makeTableConfigurationStore(Table &table, ObjectStore &objects)
{
    return std::make_unique<TableConfigurationStore>(table, objects);
}

} // namespace vanillanotch
