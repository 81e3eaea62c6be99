// The configuration and settings of `vanillanotchd --demo`.
#pragma once

#include "wire/wire.h"

namespace vanillanotch
{

constexpr const char *DemoApiKey = "demo-key";
constexpr const char *DemoOperatorKey = "demo-operator-key";

NodeSettings demoSettings();
std::vector<Entry> demoEntries(); // four pipelines that show every feature

} // namespace vanillanotch
