// Part of the instances library: what an instance is by its entry in the registry, and which instances a request may use.
#pragma once

#include "base/base.h"

#include <set>

namespace vanillanotch
{

struct InstanceSpec {
    std::string id;
    std::string service;
    std::string address; // IP:port
    std::string dataCentre;
    unsigned slots = 1; // largest number of requests that the instance runs at the same time
    bool draining = false;
    // When its process started, Unix ms by its own clock; tells restarts under the same id apart. 0, or a time that can't be a start: unknown.
    std::int64_t startedUnixMs = 0;
    std::optional<std::chrono::milliseconds> coldRemaining = std::nullopt; // time for which it stays cold, as its entry states it; nullopt: not stated
    std::string softwareVersion{}; // of the program that it runs, not of the model weights

    // Names this start of the instance, in at most 171 bytes, so that it fits into the key of a row: a longer id is replaced by its hash.
    std::string process() const;
};

using DataCentreRegions = std::map<std::string, std::string>; // region by data centre

// The data centres whose instances a request may use: all, unless it is restricted.
class DataCentreScope
{
public:
    DataCentreScope() = default;
    explicit DataCentreScope(std::set<std::string> dataCentres) // no others
        : m_dataCentres(std::move(dataCentres))
    {
    }
    // Takes away the data centres outside `regions`, and those whose region isn't known; an empty set takes nothing away.
    void restrictTo(const std::set<std::string> &regions, const DataCentreRegions &regionOf);
    bool allows(const std::string &dataCentre) const
    {
        return !m_dataCentres || m_dataCentres->count(dataCentre) > 0;
    }
    const std::optional<std::set<std::string>> &dataCentres() const // nullopt: not restricted
    {
        return m_dataCentres;
    }

private:
    std::optional<std::set<std::string>> m_dataCentres;
};

// The instances that a request may use.
struct InstanceScope {
    InstanceScope() = default;
    InstanceScope(DataCentreScope scope) // NOLINT(google-explicit-constructor): most requests are restricted by data centre only
        : dataCentres(std::move(scope))
    {
    }
    static InstanceScope ofVersion(std::string version)
    {
        InstanceScope scope;
        scope.softwareVersion = std::move(version);
        return scope;
    }
    bool allows(const InstanceSpec &instance) const
    {
        return dataCentres.allows(instance.dataCentre) && (!softwareVersion || instance.softwareVersion == *softwareVersion);
    }
    bool restricted() const
    {
        return dataCentres.dataCentres() || softwareVersion;
    }

    DataCentreScope dataCentres;
    std::optional<std::string> softwareVersion; // nullopt: any
};

} // namespace vanillanotch
