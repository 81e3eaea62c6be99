// The configuration and settings of `vanillanotchd --demo`.
#pragma once

#include "wire/wire.h"

namespace vanillanotch
{

constexpr const char *DemoApiKey = "demo-key";
constexpr const char *DemoOperatorKey = "demo-operator-key";

NodeSettings demoSettings();
std::vector<Entry> demoEntries(); // the demo configuration; its four pipelines use every feature of a pipeline

} // namespace vanillanotch
