// Benchmarks with real processes. Each prints its results as key=value pairs on one last line.
#pragma once

#include "harness.h"

namespace vanillanotch::bench
{

using test::Cluster;
using test::Json;

// What a process has used so far, from /proc.
struct Usage {
    Duration cpuTime{};
    double residentMegabytes = 0;
};
Usage usageOf(pid_t pid);

Duration quantile(std::vector<Duration> &values, double share); // sorts the values
double milliseconds(Duration duration);

int runOverheadBenchmark(const std::string &streamWorkers); // of the node under test, as in its settings
int runControlPlaneBenchmark(int nodes, int servers, int accounts); // nodes 0: the whole sweep

} // namespace vanillanotch::bench
