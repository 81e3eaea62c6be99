// The cases of transfers_test in a data centre so large that it has two relays, of which one follows the other.
#include "slow_network.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch::test;

TEST_GROUP(WideTransfers){};

// Guards against followers that all turn to one relay while the other one receives a document (CONFIG, issue 61).
TEST(WideTransfers, ALargeDocumentReachesAllNodesThroughTwoRelays)
{
    Failures failures;
    for (const double kiloBytes : {10, 100, 300, 600, 1000, 2000, 4000}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            playTwoVersions(failures, 61, 2, kiloBytes * 1000, seed);
        }
    }
    for (const double kiloBytes : {10, 100, 300, 1000}) {
        playTwoVersions(failures, 61, 0, kiloBytes * 1000, 1);
    }
    CHECK_TEXT(failures.text.empty(), failures.text.c_str());
}
