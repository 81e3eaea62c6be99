// What a node gets from another one, tables of the store and the versions of streams: calls and replies over loopback sockets, also with a node of an earlier
// build.
#include "peer_side.h"
#include "peerhttp/peer_call.h"
#include "scripted_server.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RelayCall)
{
    PeerSide node;
    TableCache cache;
    PeerHandler handler{node.scheduler, node.placement, node.streams, node.deployments, RelayedTables{{"t", &cache}}, node.leaving, node.metrics};
    FrontServer server{"peers", "127.0.0.1:0", handler, node.pool};
    std::unique_ptr<RelayChannel> channel = makeRelayChannel(node.upstream);
    std::unique_ptr<StreamPeerChannel> streams = makeStreamPeerChannel(node.upstream);

    void setup() override
    {
        StoredRows rows;
        rows.position = StorePosition(4, 20);
        rows.rows = {StoredRow{"a", "1", 20, false}};
        cache.apply(rows, true, suspendAwareNow());
    }
    void teardown() override
    {
        server.stop();
    }
    Result<StoredRows> follow(const std::string &address, const std::optional<StorePosition> &after)
    {
        return channel->follow(address, RelayQuery{"t", after}, ReplyLimits::within(seconds(2)));
    }
};

// Guards against a position that loses its era on the way (CONFIG, review/12).
TEST(RelayCall, TheEraIsPassedOn)
{
    CHECK(follow(server.address(), std::nullopt)->position == StorePosition(4, 20));
    CHECK(follow(server.address(), StorePosition(4, 20))->position == StorePosition(4, 20));
    CHECK(follow(server.address(), StorePosition(3, 20)).error().code == ErrorCode::StoreHistoryGone);
    CHECK(follow(server.address(), StorePosition(3, 90)).error().code == ErrorCode::StoreHistoryGone);
}

// Guards against a node of an earlier build that is believed, or that gets nothing any more: it states no era, and its replies hold none.
TEST(RelayCall, ANodeOfAnEarlierBuildIsServedButNotBelieved)
{
    NeverCancelled neverCancelled;
    const TimePoint until = node.clock.now() + seconds(2);
    const std::string query = R"({"table":"t","after":20,"wait_ms":0})";
    const auto reply = callPeer(node.upstream, PeerCall{server.address(), RelayTablePath, query, until, until}, neverCancelled, [] {
        return false;
    });
    CHECK(reply.has_value());
    const std::string &text = reply->body;
    CHECK_TEXT(text.find(R"("version":20)") != std::string::npos && text.find("error") == std::string::npos, text.c_str());

    ScriptedServer earlier;
    earlier.script = [](ServerConnection &connection) {
        const std::string body = R"({"version":515,"rows":[],"held_ms":0,"age_ms":1,"hops":1})";
        (void)connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    CHECK(follow(earlier.address(), StorePosition(4, 20)).error().code == ErrorCode::PeerUnavailable);
    CHECK(follow(earlier.address(), std::nullopt).error().code == ErrorCode::PeerUnavailable);
}

// Guards against a document that crosses a slow link at its full size, once for each follower (CONFIG, issue 61), and against one that is changed on the way.
TEST(RelayCall, LargeCopiesAreCompressed)
{
    std::string document = "\xff";
    for (int i = 0; i < 3000; ++i) {
        document += R"({"Name":"r-)" + std::to_string(i * 7919) + R"(","Host":"h.example","Prefix":"/p/","Kind":"idempotent","TimeoutMs":30000},)";
    }
    for (std::uint64_t version = 21; version < 24; ++version) {
        StoredRows rows;
        rows.position = StorePosition(4, version);
        rows.rows = {StoredRow{"large", document + std::to_string(version), version, false}};
        cache.apply(rows, false, suspendAwareNow());
        for (const std::optional<StorePosition> &after : {std::optional<StorePosition>(), std::optional<StorePosition>(StorePosition(4, version - 1))}) {
            for (int follower = 0; follower < 2; ++follower) {
                const auto copy = follow(server.address(), after);
                CHECK(copy.has_value());
                CHECK(copy->position == rows.position);
                LONGS_EQUAL(after ? 1 : 2, static_cast<long>(copy->rows.size()));
                const std::string &received = copy->rows.back().value;
                CHECK(received.substr(received.find('{')) == rows.rows.front().value.substr(1)); // the byte that isn't UTF-8 is replaced
                CHECK(copy->transfer.bytes < document.size() / 4);
                CHECK(*copy->asOf <= cache.asOf()); // a copy never looks newer than it is
                LONGS_EQUAL(1, static_cast<long>(copy->hops));
            }
        }
    }
}

// Guards against a reply that can't be decompressed and passes for an empty or a whole one.
TEST(RelayCall, ABrokenCompressedCopyIsNoCopy)
{
    const std::string whole = deflated(R"({"era":4,"version":30,"rows":[{"key":"a","version":30,"value":")" + std::string(50'000, 'x') + R"("}],"hops":1})");
    CHECK(inflated(whole, 100'000).has_value());
    CHECK(inflated(whole, 1000).error().code == ErrorCode::InvalidReply);
    std::string damaged = whole;
    damaged[whole.size() / 2] = static_cast<char>(damaged[whole.size() / 2] ^ 0x55);
    for (const std::string &body : {whole.substr(0, whole.size() / 2), std::string("no deflate"), std::string(), damaged}) {
        ScriptedServer broken;
        broken.script = [&body](ServerConnection &connection) {
            (void)connection.send("HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\nCopy-Held-Ms: 0\r\nCopy-Age-Ms: 1\r\nContent-Length: "
                                  + std::to_string(body.size()) + "\r\n\r\n" + body);
        };
        CHECK(follow(broken.address(), StorePosition(4, 20)).error().code == ErrorCode::PeerUnavailable);
    }
}

// Guards against an answer that is lost or changed on the way, and against a node of an earlier build, which doesn't know the question.
TEST(RelayCall, AnotherNodeTellsTheVersionOfAStream)
{
    const auto versionOf = [this](const std::string &address, const std::string &stream) {
        return streams->versionOf(address, StreamTakeUp{"engine", stream}, seconds(2));
    };
    const std::string odd = "\xff\"stream";
    node.streams.remember("engine", StreamVersion{"a", "v1"}, Ref<StreamRecord>());
    CHECK(*versionOf(server.address(), "a") == "v1");
    CHECK(versionOf(server.address(), odd).error().code == ErrorCode::PeerUnavailable); // it isn't taken for another stream
    CHECK(versionOf(server.address(), "b").error().code == ErrorCode::StreamUnknown);
    node.streamLedger.setFailing(true);
    CHECK(versionOf(server.address(), "b").error().code == ErrorCode::StreamUnread);

    ScriptedServer earlier;
    earlier.script = [](ServerConnection &connection) {
        const std::string body = R"({"error":1201})";
        (void)connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    CHECK(versionOf(earlier.address(), "a").error().code == ErrorCode::PeerUnavailable);
}

// Guards against a newer configuration that isn't passed on, and against one that is when the other node has it.
TEST(RelayCall, AnotherNodeGivesItsNewerConfiguration)
{
    const auto peers = makeDeploymentPeerChannel(node.upstream);
    const auto newerThan = [&](std::uint64_t version) {
        return *peers->documentNewerThan(server.address(), version, ReplyLimits::within(seconds(2)));
    };
    CHECK_FALSE(newerThan(0).has_value());
    const auto deployment = makeRef<Deployment>(7, std::vector<RouteSpec>{}, std::vector<ServiceSpec>{}, std::nullopt, FrontLimits{});
    CHECK(node.deployments.install(deployment, "{\"Version\":7}"));
    STRCMP_EQUAL("{\"Version\":7}", newerThan(6).value_or("none").c_str());
    CHECK_FALSE(newerThan(7).has_value());
}
