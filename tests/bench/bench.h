// Benchmarks with real node processes and stand-ins for the platform and the backend servers. Each prints its results as key=value
// pairs on its last line.
#pragma once

#include "harness.h"

namespace vanillanotch::bench
{

using test::Cluster;
using test::Json;

// Resources that a process has used, read from /proc.
struct Usage {
    Duration cpuTime{}; // user and system time since the process started
    double residentMegabytes = 0; // memory in use at the time of the call, in 10^6 bytes
};
Usage readUsage(pid_t pid);

Duration quantile(std::vector<Duration> &values, double share); // share: 0 to 1; sorts the values; 0 when there are none
double millisecondCount(Duration duration);

// Measures latency and CPU time that a node adds to requests and streams. Returns the exit code of the program: 1 if any request
// failed. streamWorkers: value of the setting stream_workers of the measured node.
int runOverheadBenchmark(const std::string &streamWorkers);
// Measures what a cluster without requests costs. Returns the exit code of the program: always 0. nodes 0: measures a fixed series
// of cluster sizes and ignores the other arguments.
int runControlPlaneBenchmark(int nodes, int servers, int accounts);

} // namespace vanillanotch::bench
