// A Platform that keeps its rows and objects in this process's memory, for --demo and tests.
#include "storage/storage.h"

namespace vanillanotch
{

namespace
{
class MemoryTable final : public Table
{
public:
    Result<std::optional<Row>> read(const std::string &key) override
    {
        const Lock lock(m_mutex);
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::nullopt : std::optional<Row>(found->second);
    }

    Result<std::vector<Row>> scan(const std::string &prefix, const std::string &after, std::size_t limit) override
    {
        const Lock lock(m_mutex);
        std::vector<Row> rows;
        auto it = after.empty() ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
        for (; it != m_rows.end() && rows.size() < limit && it->first.rfind(prefix, 0) == 0; ++it) {
            rows.push_back(it->second);
        }
        return rows;
    }

    Result<void> commit(const std::vector<Write> &writes) override
    {
        const Lock lock(m_mutex);
        for (const Write &write : writes) {
            const auto found = m_rows.find(write.key);
            const std::uint64_t version = found == m_rows.end() ? RowAbsent : found->second.version;
            if (version != write.expectedVersion) {
                return fail(ErrorCode::ConditionFailed, write.key);
            }
        }
        for (const Write &write : writes) {
            if (!write.value) {
                m_rows.erase(write.key);
                continue;
            }
            Row &row = m_rows[write.key];
            row.key = write.key;
            row.value = *write.value;
            ++row.version;
        }
        return {};
    }

private:
    RankedMutex m_mutex{LockRank::Storage};
    std::map<std::string, Row> m_rows;
};

class MemoryObjects final : public ObjectStore
{
public:
    Result<std::string> read(const std::string &name) override
    {
        const Lock lock(m_mutex);
        const auto found = m_objects.find(name);
        if (found == m_objects.end()) {
            return fail(ErrorCode::ObjectNotFound, name);
        }
        return found->second;
    }

    Result<void> write(const std::string &name, const std::string &bytes) override
    {
        const Lock lock(m_mutex);
        m_objects[name] = bytes;
        return {};
    }

    Result<void> insert(const std::string &name, const std::string &bytes) override
    {
        const Lock lock(m_mutex);
        if (!m_objects.emplace(name, bytes).second) {
            return fail(ErrorCode::ConditionFailed, name);
        }
        return {};
    }

    Result<void> remove(const std::string &name) override
    {
        const Lock lock(m_mutex);
        m_objects.erase(name);
        return {};
    }

private:
    RankedMutex m_mutex{LockRank::Storage};
    std::map<std::string, std::string> m_objects;
};

class EmptyVmList final : public VmList
{
public:
    Result<std::vector<VmRecord>> list() override
    {
        return std::vector<VmRecord>{};
    }
};
} // namespace

Platform makeMemoryPlatform()
{
    Platform platform;
    platform.table = std::make_unique<MemoryTable>();
    platform.objects = std::make_unique<MemoryObjects>();
    platform.vms = std::make_unique<EmptyVmList>();
    return platform;
}

} // namespace vanillanotch
