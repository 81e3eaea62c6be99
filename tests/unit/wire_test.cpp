// Encoding and decoding: all problems of a file are reported at once, round trips change nothing, malformed input crashes no decoder.
#include "fakes.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
std::string example(const std::string &name)
{
    return readFile(std::string(VANILLANOTCH_SOURCES) + "/examples/" + name).value();
}

bool hasProblem(const std::vector<FileProblem> &problems, int line, const std::string &entry)
{
    return std::any_of(problems.begin(), problems.end(), [&](const FileProblem &problem) {
        return problem.line == line && problem.path == entry;
    });
}

// The settings that the platform fills into the template of deploy/, by the names that it uses there.
std::map<std::string, std::string> platformSettings()
{
    return {{"NodeName|json", "\"edge-1\""},
            {"Zone|json", "\"kolkata\""},
            {"Zones|json", "{\"kolkata\":\"bengal\"}"},
            {"Listen.Front|json", "\"10.0.0.1:80\""},
            {"Listen.Ready|json", "\"10.0.0.1:81\""},
            {"Ip", "10.0.0.1"},
            {"InternalPorts.0", "7740"},
            {"Platform.Address|json", "\"10.0.0.2:80\""},
            {"Limits.CpuShare", "0.25"},
            {"Limits.MemoryMb", "260"},
            {"Limits.MaxFds", "4100"},
            {"Bounds.RevokeMs", "5000"},
            {"Bounds.ContactMs", "3000"},
            {"Bounds.DrainMs", "2000"},
            {"Bounds.GraceS", "8"},
            {"Bounds.BudgetWindowS", "10"},
            {"Bounds.RetryBudgetRatio", "0.2"},
            {"Bounds.RetryBudgetExtra", "54"}};
}

// Replaces each placeholder of the template by its value; one without a value by nothing, as the platform does.
std::string fillTemplate(const std::string &text, const std::map<std::string, std::string> &values)
{
    std::string out;
    std::size_t at = 0;
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", at)) {
        const std::size_t end = text.find("}}", begin);
        const auto value = values.find(text.substr(begin + 2, end - begin - 2));
        out += text.substr(at, begin - at) + (value == values.end() ? std::string() : value->second);
        at = end + 2;
    }
    return out + text.substr(at);
}

tl::expected<EntrySettings, std::vector<FileProblem>> deployedSettings(const std::map<std::string, std::string> &values)
{
    const std::string text = readFile(std::string(VANILLANOTCH_SOURCES) + "/deploy/entry.yaml").value();
    return parseEntrySettingsYaml(fillTemplate(text, values), "entry.yaml");
}

// Returns the document with one to four random mutations: a byte replaced, bytes removed, bytes repeated, or the end cut off.
std::string mutate(const std::string &text, std::mt19937_64 &random)
{
    std::string out = text;
    for (std::uint64_t i = random() % 4 + 1; i > 0 && !out.empty(); --i) {
        const std::size_t offset = random() % out.size();
        switch (random() % 4) {
        case 0:
            out[offset] = static_cast<char>(random());
            break;
        case 1:
            out.erase(offset, random() % 8 + 1);
            break;
        case 2:
            out.insert(offset, out.substr(random() % out.size(), 8));
            break;
        default:
            out.resize(offset);
        }
    }
    return out;
}
} // namespace

TEST_GROUP(Wire){};

// Guards against a node that doesn't start, because a figure of the platform is a fraction or isn't stated.
TEST(Wire, FiguresOfThePlatformMayBeFractionsOrAbsent)
{
    using std::chrono::milliseconds;
    const auto whole = deployedSettings(platformSettings());
    CHECK(whole.has_value());
    CHECK(whole->stopLimit == milliseconds(8000));
    CHECK(whole->retryWindow == milliseconds(10000));
    CHECK(whole->drainBound == milliseconds(2000));

    auto fractions = platformSettings();
    fractions["Bounds.RevokeMs"] = "4999.5";
    fractions["Bounds.ContactMs"] = "2999.999";
    fractions["Bounds.DrainMs"] = "1.5e3";
    fractions["Bounds.GraceS"] = "7.5";
    fractions["Bounds.BudgetWindowS"] = "9.7504";
    fractions["Bounds.RetryBudgetExtra"] = "53.5";
    fractions["Limits.MemoryMb"] = "260.5";
    fractions["Limits.MaxFds"] = "4100.0";
    const auto settings = deployedSettings(fractions);
    CHECK(settings.has_value());
    CHECK(settings->revocationBound == milliseconds(4999)); // rounded down: they are upper limits
    CHECK(settings->recoveryBound == milliseconds(2999));
    CHECK(settings->drainBound == milliseconds(1500));
    CHECK(settings->stopLimit == milliseconds(7500));
    CHECK(settings->retryWindow == milliseconds(9750));

    for (const auto &[name, value] : platformSettings()) {
        if (name.rfind("Bounds.", 0) == 0 || name.rfind("Limits.", 0) == 0) {
            auto without = platformSettings();
            without.erase(name);
            CHECK_TEXT(deployedSettings(without).has_value(), name.c_str());
        }
    }
    for (const char *wrong : {"eight", "-1", ".nan", ".inf", "1e300", "true", "[]"}) {
        auto odd = platformSettings();
        odd["Bounds.GraceS"] = wrong;
        CHECK_FALSE_TEXT(deployedSettings(odd).has_value(), wrong);
    }
}

// Guards against a time that is given in both units, of which one would be ignored.
TEST(Wire, ATimeIsReadInMillisecondsOrInSeconds)
{
    auto values = platformSettings();
    const std::string text = fillTemplate(readFile(std::string(VANILLANOTCH_SOURCES) + "/deploy/entry.yaml").value(), values);
    const auto both = parseEntrySettingsYaml(text + "\nstop_limit_ms: 8000\n", "entry.yaml");
    CHECK_FALSE(both.has_value());
    LONGS_EQUAL(1, static_cast<long>(both.error().size()));
    STRCMP_EQUAL("stop_limit_ms", both.error().front().path.c_str());
    const auto other = parseEntrySettingsYaml(text + "\nrestore_s: 1.25\n", "entry.yaml");
    CHECK(other.has_value());
    CHECK(other->restoreDuration == std::chrono::milliseconds(1250));
}

// Guards against examples that no longer match the decoder, and against fields that get lost when a configuration is written and read again.
TEST(Wire, BothExamplesAreValidAndSurviveARoundTrip)
{
    for (const char *name : {"sonali", "dutolimpo"}) {
        const auto entries = parseConfigurationYaml(example(std::string(name) + "/configuration.yaml"), name);
        CHECK(entries.has_value());
        const ConfigurationRef configuration = *Configuration::build(1, *entries);
        LONGS_EQUAL(4, static_cast<long>(configuration->dataCentres().size()));
        LONGS_EQUAL(5, static_cast<long>(configuration->accounts().size()));
        LONGS_EQUAL(3, static_cast<long>(configuration->presets().size()));
        LONGS_EQUAL(51, static_cast<long>(configuration->backendServers().size()));
        const auto reparsed = parseConfigurationYaml(writeConfigurationYaml(configuration->entries()), "again");
        CHECK(reparsed.has_value());
        const Change remaining = difference(*configuration, *reparsed);
        LONGS_EQUAL(0, static_cast<long>(remaining.upserts.size() + remaining.deletes.size()));
        for (const Entry &entry : configuration->entries()) {
            const auto decoded = decodeEntry(encodeEntry(entry));
            CHECK(decoded.has_value());
            STRCMP_EQUAL(encodeEntry(entry).c_str(), encodeEntry(*decoded).c_str());
        }
        for (int i = 1; i <= 7; ++i) {
            CHECK(parseNodeSettingsYaml(example(std::string(name) + "/nodes/entry-" + std::to_string(i) + ".yaml"), name).has_value());
        }
    }
}

// Guards against problems that are reported one at a time or at the wrong line: the file has six.
TEST(Wire, EveryProblemOfAConfigurationIsReportedWithItsLine)
{
    const std::string yaml = "data_centres:\n"
                             "  - {name: dc1, region: r, colour: red}\n"
                             "backend_servers:\n"
                             "  - {name: s1, data_centre: dc1, address: \"1.2.3.4:5\", capabilities: [a], concurrency: many}\n"
                             "pipelines:\n"
                             "  - name: p\n"
                             "    stages:\n"
                             "      - {name: one, kind: guessing, capability: a}\n"
                             "client_accounts: []\n"
                             "presets:\n"
                             "  - {name: o, cost_weight: 7}\n"
                             "  - {name: o}\n"
                             "preset_in_force: o\n"
                             "more: 1\n";
    const auto parsed = parseConfigurationYaml(yaml, "file.yaml");
    CHECK(!parsed.has_value());
    CHECK(hasProblem(parsed.error(), 2, "data_centres[0].colour"));
    CHECK(hasProblem(parsed.error(), 4, "backend_servers[0].concurrency"));
    CHECK(hasProblem(parsed.error(), 8, "pipelines[0].stages[0].kind"));
    CHECK(hasProblem(parsed.error(), 11, "presets[0].cost_weight"));
    CHECK(hasProblem(parsed.error(), 12, "presets[1]"));
    CHECK(hasProblem(parsed.error(), 14, "more"));
    LONGS_EQUAL(6, static_cast<long>(parsed.error().size()));
}

// Guards against a configuration that names a data centre, capability or preset that does not exist.
TEST(Wire, ReferencesToMissingEntriesAreReportedWithTheirLine)
{
    const std::string yaml = "data_centres:\n"
                             "  - {name: dc1, region: r}\n"
                             "backend_servers:\n"
                             "  - {name: s1, data_centre: dc2, address: \"1.2.3.4:5\", capabilities: [a]}\n"
                             "pipelines:\n"
                             "  - name: p\n"
                             "    stages:\n"
                             "      - {name: one, kind: service, capability: b}\n"
                             "client_accounts: []\n"
                             "presets:\n"
                             "  - {name: o}\n"
                             "preset_in_force: other\n";
    const auto parsed = parseConfigurationYaml(yaml, "file.yaml");
    CHECK(!parsed.has_value());
    CHECK(hasProblem(parsed.error(), 4, "backend_server/s1.data_centre"));
    CHECK(hasProblem(parsed.error(), 6, "pipeline/p.stages[0].capability"));
    CHECK(hasProblem(parsed.error(), 12, "preset_in_force.preset"));
}

// Guards against crashes on malformed input: 4000 rounds of random mutations, seed 4711. More than 1000 must be refused, so that the
// mutations are known to have an effect.
TEST(Wire, MutatedDocumentsNeverCrashADecoder)
{
    std::mt19937_64 random(4711);
    const std::string configuration = example("sonali/configuration.yaml").substr(0, 3000);
    const std::string settings = example("sonali/nodes/entry-1.yaml");
    const std::string submission = R"({"input":"text \u00e9","deadline_ms":1000,"stream":true})";
    const std::string token = R"(data: {"id":"a","choices":[{"text":"t"}]})";
    Change change;
    change.revision = 7;
    change.upserts = {Entry{PresetSpec{"o"}}, Entry{DataCentreSpec{"dc1", "r", std::chrono::microseconds(1)}}};
    change.deletes = {EntryKey{EntryKind::Pipeline, "p"}};
    const std::string encodedChange = encodeChange(change);
    Answer answer;
    answer.stages.push_back(StageReport{"s", "server", 1, std::chrono::milliseconds(2), 0.5});
    const auto codec = makeAnswerCodec();
    const std::string encodedAnswer = codec->encodeAnswer(answer);
    std::size_t refused = 0;
    for (int i = 0; i < 4000; ++i) {
        refused += decodeSubmission(mutate(submission, random)) ? 0 : 1;
        refused += decodeTokenLine(mutate(token, random)) ? 0 : 1;
        refused += decodeChange(mutate(encodedChange, random)) ? 0 : 1;
        refused += codec->decodeAnswer(mutate(encodedAnswer, random)) ? 0 : 1;
        refused += parseNodeSettingsYaml(mutate(settings, random), "f") ? 0 : 1;
        if (i % 10 == 0) {
            refused += parseConfigurationYaml(mutate(configuration, random), "f") ? 0 : 1;
        }
    }
    CHECK(refused > 1000);
}
