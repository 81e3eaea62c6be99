// The table of crashes of a node that is alone.
#pragma once

#include "crashes/crashes.h"

namespace vanillanotch::test
{

// Shares nothing with other nodes; claims probes only if told so.
class LocalLedger final : public CrashLedger
{
public:
    void share(const CrashReport & /*report*/) override
    {
    }
    void shareCleared(const std::string & /*trait*/) override
    {
    }
    std::atomic<bool> claims{false};
    bool claimProbe(const std::string & /*trait*/, unsigned /*probe*/) override
    {
        return claims;
    }
};

} // namespace vanillanotch::test
