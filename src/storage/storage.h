// vanillanotch storage library: the platform's service as this system sees it.
//
// Index of sections:
//   [TABLE]    Table: rows with versions, all-or-nothing conditional commits
//   [OBJECTS]  ObjectStore: named bytes
//   [VMS]      VmList: the platform's lagging list of VMs
//   [MAKE]     Platform, the in-memory and the HTTP implementation
//
// Every call may fail, be slow, or lose its answer after it took effect: PlatformAnswerLost says "may have happened".
#pragma once

#include "base/base.h"

#include <optional>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

struct Row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; // 1 after the first write, then one more for each
};

constexpr std::uint64_t RowAbsent = 0; // expectedVersion: the row must not exist

struct Write {
    std::string key;
    std::optional<std::string> value; // nullopt: delete the row
    std::uint64_t expectedVersion = RowAbsent;
};

class Table
{
public:
    virtual ~Table() = default;
    virtual Result<std::optional<Row>> read(const std::string &key) = 0;
    // Rows whose keys start with `prefix` and come after `after`, in order of key.
    virtual Result<std::vector<Row>> scan(const std::string &prefix, const std::string &after, std::size_t limit) = 0;
    // All writes or none. ConditionFailed: none took effect. PlatformUnavailable: nothing was sent.
    // PlatformAnswerLost: unknown; read the rows back.
    virtual Result<void> commit(const std::vector<Write> &writes) = 0;
};

//-----------------------------------------------------------------------------
// [OBJECTS]
//-----------------------------------------------------------------------------

class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual Result<std::string> read(const std::string &name) = 0; // ObjectNotFound
    virtual Result<void> write(const std::string &name, const std::string &bytes) = 0;
    virtual Result<void> insert(const std::string &name, const std::string &bytes) = 0; // ConditionFailed: there is one already
    virtual Result<void> remove(const std::string &name) = 0;
};

//-----------------------------------------------------------------------------
// [VMS]
//-----------------------------------------------------------------------------

enum class VmRole { Entry, Backend };
enum class VmState { Live, Leaving };

struct VmRecord {
    std::string name; // of the entry VM or backend server
    VmRole role = VmRole::Entry;
    VmState state = VmState::Live;
    std::string dataCentre;
    std::string peerAddress; // entry VMs only, IP:port
    std::string operatorAddress; // entry VMs only, IP:port
};

class VmList
{
public:
    virtual ~VmList() = default;
    virtual Result<std::vector<VmRecord>> list() = 0;
};

//-----------------------------------------------------------------------------
// [MAKE]
//-----------------------------------------------------------------------------

struct Platform {
    std::unique_ptr<Table> table;
    std::unique_ptr<ObjectStore> objects;
    std::unique_ptr<VmList> vms;
};

struct PlatformSettings {
    std::string address; // IP:port of the platform's service
    std::string token; // sent as a bearer token; empty: none
    std::chrono::milliseconds timeout{1000}; // for one call
};

Platform makeMemoryPlatform(); // for --demo and tests: lives as long as the process
Platform makeHttpPlatform(const PlatformSettings &settings);

} // namespace vanillanotch
