// Large copies of a table that come slowly, over loopback sockets: the calls between nodes and to the store, and the server's side of them.
#include "peer_side.h"
#include "platform/platform.h"
#include "scripted_server.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::size_t SliceBytes = 32 * 1024;

// Passes a call on to `address` and its reply back, no faster than `bytesPerSecond`, with small buffers.
void passSlowly(ServerConnection &caller, const std::string &address, std::size_t bodyBytes, double bytesPerSecond)
{
    std::string request = caller.request;
    const std::size_t headBytes = request.find("\r\n\r\n") + 4;
    request += caller.receiveMore(headBytes + bodyBytes - request.size());
    const int target = ::socket(AF_INET, SOCK_STREAM, 0);
    const int small = 64 * 1024;
    (void)::setsockopt(target, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    const Poco::Net::SocketAddress parsed(address);
    if (::connect(target, parsed.addr(), parsed.length()) == 0 && ::send(target, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
        std::array<char, SliceBytes> slice{};
        for (;;) {
            const ssize_t count = ::recv(target, slice.data(), slice.size(), 0);
            if (count <= 0 || !caller.send(std::string_view(slice.data(), static_cast<std::size_t>(count)))) {
                break;
            }
            caller.wait(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(count) / bytesPerSecond)));
        }
    }
    ::close(target);
}

// A document that no compression makes much smaller.
std::string randomText(std::size_t bytes)
{
    std::mt19937_64 generator(7);
    std::string text(bytes, ' ');
    for (char &letter : text) {
        letter = static_cast<char>('0' + generator() % 64);
    }
    return text;
}
} // namespace

TEST_GROUP(SlowLinks)
{
    PeerSide node;
    TableCache cache;
    PeerHandler handler{node.scheduler, node.placement, node.streams, node.deployments, RelayedTables{{"t", &cache}}, node.leaving, node.metrics};
    FrontServer server{"peers", "127.0.0.1:0", handler, node.pool};
    std::unique_ptr<RelayChannel> channel = makeRelayChannel(longPollSettings());

    void teardown() override
    {
        server.stop();
    }
};

// Guards against a copy that is cut off while its bytes are coming, by the follower's timeout or by the relay's for sending (CONFIG, issue 61). The larger one
// is more than the system's buffers take.
TEST(SlowLinks, ACopyThatComesSlowlyArrivesWhole)
{
    ScriptedServer link;
    link.script = [this](ServerConnection &caller) {
        passSlowly(caller, server.address(), std::stoul(caller.header("Content-Length")), 2.5e6);
    };
    std::uint64_t version = 20;
    for (const std::size_t bytes : {std::size_t{3'900'000}, std::size_t{7'000'000}}) {
        const std::string document = randomText(bytes);
        for (const bool whole : {true, false}) {
            const StorePosition known(4, version++);
            StoredRows rows;
            rows.position = StorePosition(4, version);
            rows.rows = {StoredRow{"a", document, version, false}};
            cache.apply(rows, whole, suspendAwareNow());
            const RelayQuery query{"t", whole ? std::nullopt : std::optional(known), milliseconds(0)};
            const auto copy = channel->follow(link.address(), query, relayReplyLimits(query, RelaySettings{}));
            CHECK_TEXT(copy.has_value(), copy ? "" : copy.error().detail.c_str());
            LONGS_EQUAL(1, static_cast<long>(copy->rows.size()));
            CHECK(copy->rows.front().value == document);
            CHECK(copy->transfer.took > seconds(1));
            CHECK(copy->transfer.ageAtSource < seconds(1));
        }
    }
}

// Guards against the same at the store.
TEST(SlowLinks, ADocumentOfTheStoreThatComesSlowlyArrivesWhole)
{
    const std::string body = R"({"Ver":9,"NowMs":5,"HasMore":false,"Rows":[{"Key":"config","Ver":9,"Value":")" + std::string(2'000'000, 'A') + R"("}]})";
    ScriptedServer slowStore;
    slowStore.script = [&body](ServerConnection &caller) {
        std::string reply = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        for (std::string_view rest = reply; !rest.empty();) {
            const std::string_view slice = rest.substr(0, SliceBytes);
            if (!caller.send(slice)) {
                return;
            }
            rest.remove_prefix(slice.size());
            caller.wait(milliseconds(30));
        }
    };
    const auto store = platform::makeStore(slowStore.address(), longPollSettings());
    const auto table = store->readTable("op", milliseconds(800));
    CHECK_TEXT(table.has_value(), table ? "" : table.error().detail.c_str());
    LONGS_EQUAL(1'500'000, static_cast<long>(table->rows.front().value.size()));
    const auto changes = store->awaitChanges("op", StorePosition(1, 8), milliseconds(0), milliseconds(800));
    CHECK_TEXT(changes.has_value(), changes ? "" : changes.error().detail.c_str());
}

// Guards against a call that goes on for ever because some bytes have come: a source that falls silent within a reply is given up.
TEST(SlowLinks, ASourceThatFallsSilentWithinItsReplyIsGivenUp)
{
    ScriptedServer source;
    source.script = [](ServerConnection &caller) {
        (void)caller.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"rows\":");
        caller.wait(seconds(20));
    };
    const TimePoint begun = std::chrono::steady_clock::now();
    const RelayQuery query{"t", StorePosition(4, 20), milliseconds(0)};
    CHECK(channel->follow(source.address(), query, relayReplyLimits(query, RelaySettings{})).error().code == ErrorCode::PeerUnavailable);
    CHECK(std::chrono::steady_clock::now() - begun < seconds(5)); // well below the time for which the source stays connected
}
