// Cold instances, for whole fleets under a hand-driven clock: what is stated of them, and the requests that one gets from all nodes together.
// No network, no threads.
#include "platform/platform.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
std::optional<milliseconds> statedByEntry(const std::string &value)
{
    const auto spec = platform::decodeInstance("i", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","ColdRemainingMs":)" + value + "}");
    CHECK_TEXT(spec.has_value(), value.c_str());
    return spec->coldRemaining;
}

std::optional<milliseconds> statedByReply(const std::string &value)
{
    ReplyHead head;
    head.status = 200;
    head.headers.add("X-Cold-Ms", value);
    return platform::makeRequestCodec()->readReply(head, "a").statement.coldRemaining;
}
} // namespace

TEST_GROUP(ColdStatements){};

// Guards against a statement that makes a server cold for ever, or hides its entry.
TEST(ColdStatements, InvalidValuesHaveADefinedMeaning)
{
    for (const auto &[value, meaning] : std::vector<std::pair<std::string, std::optional<milliseconds>>>{{"2500", milliseconds(2500)},
                                                                                                         {"0", milliseconds(0)},
                                                                                                         {"0.2", milliseconds(1)},
                                                                                                         {"-1", milliseconds(0)},
                                                                                                         {"-1e300", milliseconds(0)},
                                                                                                         {"600001", MaxColdTime},
                                                                                                         {"1e300", MaxColdTime},
                                                                                                         {"18446744073709551616", MaxColdTime}}) {
        CHECK_TEXT(statedByEntry(value) == meaning, value.c_str());
        CHECK_TEXT(statedByReply(value) == meaning, value.c_str());
    }
    for (const char *value : {R"("2500")", "null", "[]", "{}", "true"}) {
        CHECK_TEXT(statedByEntry(value) == std::nullopt, value);
    }
    for (const char *value : {"", "x", "nan", "12x", "-", "1,2"}) {
        CHECK_TEXT(statedByReply(value) == std::nullopt, value);
    }
    CHECK(statedByReply("inf") == MaxColdTime);
    CHECK(statedByReply("1e400") == MaxColdTime);
    CHECK(statedByReply("-inf") == milliseconds(0));
    CHECK(statedByReply("-1e400") == milliseconds(0));
    CHECK(statedByReply("1e-400") == milliseconds(0));
    CHECK(platform::makeRequestCodec()->readReply(ReplyHead{}, "a").statement.coldRemaining == std::nullopt);
    CHECK_FALSE(platform::decodeInstance("i", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready"})")->coldRemaining.has_value());
}

// Guards against a configuration that is refused, or that limits no server or each one for ever, because of one value.
TEST(ColdStatements, InvalidValuesOfAServiceHaveADefinedMeaning)
{
    const auto decode = [](const std::string &fields) {
        const auto deployment = platform::decodeDeployment(R"({"Version":1,"Routes":[],"Services":[{"Name":"s")" + fields + "}]}");
        CHECK_TEXT(deployment.has_value(), fields.c_str());
        return *(*deployment)->service("s");
    };
    const ServiceSpec plain = decode("");
    CHECK(plain.coldStart == milliseconds(0));
    DOUBLES_EQUAL(0, plain.coldRequestsPerSecond, 0);
    const ServiceSpec stated = decode(R"(,"ColdStartS":12.5,"ColdPerS":8)");
    CHECK(stated.coldStart == milliseconds(12500));
    DOUBLES_EQUAL(8, stated.coldRequestsPerSecond, 0);
    const ServiceSpec negative = decode(R"(,"ColdStartS":-3,"ColdPerS":-8)");
    CHECK(negative.coldStart == milliseconds(0));
    DOUBLES_EQUAL(0, negative.coldRequestsPerSecond, 0);
    const ServiceSpec text = decode(R"(,"ColdStartS":"12","ColdPerS":null)");
    CHECK(text.coldStart == milliseconds(0));
    DOUBLES_EQUAL(0, text.coldRequestsPerSecond, 0);
    CHECK(decode(R"(,"ColdStartS":1e300)").coldStart == MaxColdTime);
}
