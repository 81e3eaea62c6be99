// A large configuration over links of 10 Mbit/s, in data centres with one relay.
#include "slow_network.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch::test;

TEST_GROUP(Transfers){};

// Guards against a document that is thrown away or cut off for the time of its journey, and sent again (CONFIG, issue 61): links of 10 Mbit/s, two nodes with
// 200.
TEST(Transfers, ALargeDocumentReachesAllNodesInTheTimeThatTheLinksTake)
{
    Failures failures;
    for (const std::size_t nodes : {8, 18, 31}) {
        for (const double kiloBytes : {10, 100, 300, 600, 1000, 2000, 4000}) {
            for (const std::uint64_t seed : {1, 2, 3}) {
                playTwoVersions(failures, nodes, 2, kiloBytes * 1000, seed);
            }
        }
    }
    CHECK_TEXT(failures.text.empty(), failures.text.c_str());
}

// The same where no node has a faster link.
TEST(Transfers, ALargeDocumentReachesAllNodesWhereNoneHasAFasterLink)
{
    Failures failures;
    for (const std::size_t nodes : {8, 18, 31}) {
        for (const double kiloBytes : {10, 100, 300, 1000}) {
            playTwoVersions(failures, nodes, 0, kiloBytes * 1000, 1);
        }
    }
    CHECK_TEXT(failures.text.empty(), failures.text.c_str());
}
