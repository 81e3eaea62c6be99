// Benchmarks with real processes. Each prints its results as key=value pairs on its last line.
#pragma once

#include "harness.h"

namespace vanillanotch::bench
{

using test::Cluster;
using test::Json;

// Resources that a process has used, read from /proc.
struct Usage {
    Duration cpuTime{}; // user and system time since its start
    double residentMegabytes = 0; // now; 10^6 bytes
};
Usage readUsage(pid_t pid);

Duration quantile(std::vector<Duration> &values, double share); // share: 0 to 1; sorts the values; 0 when there are none
double millisecondCount(Duration duration);

// Both return the exit code of the program.
// streamWorkers: value of the setting stream_workers of the measured node.
int runOverheadBenchmark(const std::string &streamWorkers);
// nodes 0: measures all combinations of the benchmark and ignores the other arguments.
int runControlPlaneBenchmark(int nodes, int servers, int accounts);

} // namespace vanillanotch::bench
