// vanillanotch storage library: interfaces to the service of the platform (the environment that vanillanotchd runs in) that keeps its
// data and lists its VMs.
//
// Index of sections:
//   [TABLE]    Table: versioned rows, atomic conditional commits
//   [OBJECTS]  ObjectStore: named objects of bytes
//   [VMS]      VmList: the platform's list of VMs, which lags behind the real state
//   [MAKE]     Platform: a table, an object store and a VM list; functions that make an in-memory one and one that is reached over HTTP
//
// Every call may fail, be slow, or lose its reply after it took effect. Errors of all calls: PlatformUnavailable: the call had no effect.
// PlatformAnswerLost: it is unknown whether the call took effect. PlatformReplyInvalid: the reply could not be decoded.
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
    std::uint64_t version = 0; // 1 after the first write, incremented by each further one
};

constexpr std::uint64_t RowAbsent = 0; // value of Write::expectedVersion: the row must not exist

// One write of a commit. The commit succeeds only if the row has the expected version.
struct Write {
    std::string key;
    std::optional<std::string> value; // nullopt: delete the row
    std::uint64_t expectedVersion = RowAbsent; // the version that the row must have
};

class Table
{
public:
    virtual ~Table() = default;
    // Returns the row of this key; nullopt: there is none.
    virtual Result<std::optional<Row>> read(const std::string &key) = 0;
    // Returns at most `limit` rows whose keys start with `prefix` and sort after `after` (empty: from the first), sorted by
    // key.
    virtual Result<std::vector<Row>> scan(const std::string &prefix, const std::string &after, std::size_t limit) = 0;
    // Applies all writes or none. ConditionFailed: a row has another version than expected, so no write took effect.
    // PlatformUnavailable: nothing was sent, so no write took effect. PlatformAnswerLost: the outcome is unknown; the
    // caller can read the rows to find out.
    virtual Result<void> commit(const std::vector<Write> &writes) = 0;
};

//-----------------------------------------------------------------------------
// [OBJECTS]
//-----------------------------------------------------------------------------

class ObjectStore
{
public:
    virtual ~ObjectStore() = default;
    virtual Result<std::string> read(const std::string &name) = 0; // error: ObjectNotFound
    virtual Result<void> write(const std::string &name, const std::string &bytes) = 0; // creates the object or replaces its content
    // Creates the object. ConditionFailed: an object of that name exists.
    virtual Result<void> insert(const std::string &name, const std::string &bytes) = 0;
    virtual Result<void> remove(const std::string &name) = 0; // succeeds also when there is no such object
};

//-----------------------------------------------------------------------------
// [VMS]
//-----------------------------------------------------------------------------

enum class VmRole { Entry, Backend };
enum class VmState { Live, Leaving };

struct VmRecord {
    std::string name; // name of the entry VM or backend server
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
    std::string token; // bearer token sent with each call; empty: none is sent
    std::chrono::milliseconds timeout{1000}; // longest time for one call
};

Platform makeMemoryPlatform(); // for --demo and tests: keeps everything in memory, its list of VMs is empty
Platform makeHttpPlatform(const PlatformSettings &settings);

} // namespace vanillanotch
