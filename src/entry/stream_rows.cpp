// Rows of the tables that keep the software versions of streams, and the ledger that reads and writes them.
#include "entry/entry.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillanotch
{

namespace
{
using Json = nlohmann::json;

const std::string StreamsTable = "streams"; // version of a stream, by the hash of its id
const std::string VersionsTable = "versions"; // default version of a service, by its name
const std::string VersionsPart = "versions"; // apart from the rows of the operator and of servers
constexpr unsigned StreamParts = 8; // so that records of all nodes are not written one after the other
constexpr std::size_t LongestKey = 200; // bytes

RowKey streamKey(const std::string &stream)
{
    const std::uint64_t hash = stableHash(stream); // ids of any length and content fit
    return RowKey{StreamsTable, std::to_string(hash % StreamParts), std::to_string(hash)};
}

RowKey versionsKey(const std::string &service)
{
    return RowKey{VersionsTable, VersionsPart, service.size() > LongestKey ? std::to_string(stableHash(service)) : service};
}

Result<std::string> decodeVersion(const std::string &value)
{
    try {
        return Json::parse(value).at("version").get<std::string>();
    } catch (const Json::exception &exception) {
        return fail(ErrorCode::DocumentInvalid, exception.what());
    }
}

std::uint64_t decodeEra(const std::string &value)
{
    const Json json = Json::parse(value, nullptr, false);
    const auto era = json.find("era");
    return era != json.end() && era->is_number_unsigned() ? era->get<std::uint64_t>() : 0;
}

std::string encodeVersion(const std::string &version, std::uint64_t era = 0)
{
    return Json{{"version", version}, {"era", era}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}
} // namespace

StoreStreamLedger::StoreStreamLedger(RowStore &store)
    : m_store(store)
{
}

Result<std::optional<std::string>> StoreStreamLedger::versionOf(const std::string &stream, Duration timeout)
{
    const auto row = m_store.readRow(streamKey(stream), timeout);
    if (!row) {
        return tl::unexpected(row.error());
    }
    if (!row->row) {
        return std::optional<std::string>();
    }
    auto version = decodeVersion(row->row->value);
    return version ? Result<std::optional<std::string>>(std::move(*version)) : tl::unexpected(version.error());
}

Result<void> StoreStreamLedger::record(const std::string &stream, const std::string &version, bool replaces, Duration timeout)
{
    return m_store.writeRow(streamKey(stream), encodeVersion(version), replaces ? std::nullopt : std::optional(std::uint64_t{0}), timeout);
}

std::vector<StreamVersion> StoreStreamLedger::recordAll(const std::vector<StreamVersion> &streams, Duration timeout)
{
    std::map<std::string, std::vector<const StreamVersion *>> parts;
    for (const StreamVersion &stream : streams) {
        parts[streamKey(stream.stream).part].push_back(&stream);
    }
    std::vector<StreamVersion> failed;
    for (const auto &[part, all] : parts) {
        for (std::size_t begin = 0; begin < all.size(); begin += StateStore::MaxRowsOfWrite) {
            const std::size_t end = std::min(all.size(), begin + StateStore::MaxRowsOfWrite);
            std::vector<RowWrite> rows;
            for (std::size_t i = begin; i < end; ++i) {
                rows.push_back(RowWrite{streamKey(all[i]->stream).key, encodeVersion(all[i]->version)});
            }
            if (!m_store.writePart(StreamsTable, part, rows, timeout)) {
                std::transform(all.begin() + static_cast<std::ptrdiff_t>(begin), all.begin() + static_cast<std::ptrdiff_t>(end), std::back_inserter(failed),
                               [](const StreamVersion *stream) {
                                   return *stream;
                               });
            }
        }
    }
    return failed;
}

Result<DefaultVersion> StoreStreamLedger::defaultOf(const std::string &service, Duration timeout)
{
    const auto row = m_store.readRow(versionsKey(service), timeout);
    if (!row) {
        return tl::unexpected(row.error());
    }
    if (!row->row) {
        return DefaultVersion{std::string(), 0, row->era, row->era};
    }
    auto version = decodeVersion(row->row->value);
    return version ? Result<DefaultVersion>(DefaultVersion{std::move(*version), row->row->version, decodeEra(row->row->value), row->era})
                   : tl::unexpected(version.error());
}

Result<void> StoreStreamLedger::replaceDefault(const std::string &service, const DefaultVersion &replaced, const std::string &version, Duration timeout)
{
    return m_store.writeRow(versionsKey(service), encodeVersion(version, replaced.ledgerEra), replaced.revision, timeout);
}

void StoreStreamLedger::removeOld(Duration timeout)
{
    std::map<std::string, StorePosition> seen;
    for (unsigned part = 0; part < StreamParts; ++part) {
        const auto rows = m_store.readPart(StreamsTable, std::to_string(part), timeout);
        if (!rows) {
            return; // tried again at the next call
        }
        std::vector<StoredRow> old;
        for (const StoredRow &row : rows->rows) {
            const StorePosition written(rows->position.era(), row.version);
            const auto found = m_seen.find(row.key);
            if (found == m_seen.end() || !(found->second == written)) {
                seen.emplace(row.key, written);
            } else if (old.size() < StateStore::MaxRowsOfWrite) {
                old.push_back(row);
            } else {
                seen.insert(*found);
            }
        }
        if (!old.empty()) {
            (void)m_store.removeRows(StreamsTable, std::to_string(part), old, timeout);
        }
    }
    m_seen = std::move(seen);
}

} // namespace vanillanotch
