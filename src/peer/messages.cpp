#include "peer/messages.h"

#include "wire/wire.h"

namespace vanillanotch
{

namespace
{
void encodeMember(const MemberRecord &record, proto::Member &out)
{
    out.set_name(record.name);
    out.set_data_centre(record.dataCentre);
    out.set_peer_address(record.peerAddress);
    out.set_operator_address(record.operatorAddress);
    out.set_incarnation(record.incarnation);
    out.set_version(record.version);
    out.set_state(static_cast<std::uint32_t>(record.state));
    out.set_revision(record.revision);
}

MemberRecord decodeMember(const proto::Member &in)
{
    MemberRecord record;
    record.name = in.name();
    record.dataCentre = in.data_centre();
    record.peerAddress = in.peer_address();
    record.operatorAddress = in.operator_address();
    record.incarnation = in.incarnation();
    record.version = in.version();
    // A state that this node doesn't know, for example of a newer release, counts as the last value of MemberState.
    record.state = in.state() <= static_cast<std::uint32_t>(MemberState::Left) ? static_cast<MemberState>(in.state()) : MemberState::Left;
    record.revision = in.revision();
    return record;
}

template<typename Messages>
void encodeMembers(const std::vector<MemberRecord> &records, Messages &out)
{
    for (const MemberRecord &record : records) {
        encodeMember(record, *out.Add());
    }
}

// Decodes the members; leaves out those without a name.
template<typename Messages>
std::vector<MemberRecord> decodeMembers(const Messages &in)
{
    std::vector<MemberRecord> records;
    for (const proto::Member &member : in) {
        if (!member.name().empty()) {
            records.push_back(decodeMember(member));
        }
    }
    return records;
}

template<typename Messages>
void encodeSuspects(const std::vector<SuspectMark> &marks, Messages &out)
{
    for (const SuspectMark &mark : marks) {
        proto::Suspect &suspect = *out.Add();
        suspect.set_fingerprint(mark.fingerprint);
        suspect.set_held_for_ms(static_cast<std::uint64_t>(mark.remaining.count()));
        for (const std::string &server : mark.servers) {
            suspect.add_servers(server);
        }
    }
}

template<typename Messages>
std::vector<SuspectMark> decodeSuspects(const Messages &in)
{
    constexpr std::uint64_t MaxRetention = 3600000; // milliseconds, one hour; a longer time in a message is shortened to this
    std::vector<SuspectMark> marks;
    for (const proto::Suspect &suspect : in) {
        SuspectMark mark;
        mark.fingerprint = suspect.fingerprint();
        mark.servers.insert(suspect.servers().begin(), suspect.servers().end());
        mark.remaining = std::chrono::milliseconds(std::min<std::uint64_t>(suspect.held_for_ms(), MaxRetention));
        marks.push_back(std::move(mark));
    }
    return marks;
}

template<typename Messages>
Result<std::vector<Change>> decodeChanges(const Messages &in)
{
    std::vector<Change> changes;
    for (const std::string &text : in) {
        auto change = decodeChange(text);
        if (!change) {
            return tl::unexpected(change.error());
        }
        changes.push_back(std::move(*change));
    }
    return changes;
}
} // namespace

void encode(const ExchangeMessage &message, proto::ExchangeRequest &out)
{
    encodeMember(message.sender, *out.mutable_sender());
    out.set_member_digest(message.memberDigest);
    encodeSuspects(message.suspects, *out.mutable_suspects());
}

Result<ExchangeMessage> decode(const proto::ExchangeRequest &in)
{
    if (in.sender().name().empty()) {
        return fail(ErrorCode::InvalidArgument, "the sender is missing");
    }
    ExchangeMessage message;
    message.sender = decodeMember(in.sender());
    message.memberDigest = in.member_digest();
    message.suspects = decodeSuspects(in.suspects());
    return message;
}

void encode(const ExchangeReply &reply, proto::ExchangeReply &out)
{
    encodeMember(reply.sender, *out.mutable_sender());
    encodeMembers(reply.members, *out.mutable_members());
    encodeSuspects(reply.suspects, *out.mutable_suspects());
    for (const Change &change : reply.changes) {
        out.add_changes(encodeChange(change));
    }
    out.set_snapshot_needed(reply.snapshotNeeded);
    for (const std::string &server : reply.leavingServers) {
        out.mutable_leaving()->add_servers(server);
    }
}

Result<ExchangeReply> decode(const proto::ExchangeReply &in)
{
    auto changes = decodeChanges(in.changes());
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    ExchangeReply reply;
    reply.sender = decodeMember(in.sender());
    reply.members = decodeMembers(in.members());
    reply.suspects = decodeSuspects(in.suspects());
    reply.changes = std::move(*changes);
    reply.snapshotNeeded = in.snapshot_needed();
    reply.leavingServers.insert(in.leaving().servers().begin(), in.leaving().servers().end());
    return reply;
}

void encode(const PeerUpdate &update, proto::PushRequest &out)
{
    for (const Change &change : update.changes) {
        out.add_changes(encodeChange(change));
    }
    encodeSuspects(update.suspects, *out.mutable_suspects());
    if (update.leavingServers) {
        out.mutable_leaving();
        for (const std::string &server : *update.leavingServers) {
            out.mutable_leaving()->add_servers(server);
        }
    }
    encodeMembers(update.members, *out.mutable_members());
    out.set_range_end(update.rangeEnd);
}

Result<PeerUpdate> decode(const proto::PushRequest &in)
{
    auto changes = decodeChanges(in.changes());
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    // range_end names the last member that the receiver pushes the update on to. Without range_end the receiver would push to all members again.
    if (in.range_end().empty()) {
        return fail(ErrorCode::InvalidArgument, "range_end is missing");
    }
    PeerUpdate update;
    update.changes = std::move(*changes);
    update.suspects = decodeSuspects(in.suspects());
    if (in.has_leaving()) {
        update.leavingServers.emplace(in.leaving().servers().begin(), in.leaving().servers().end());
    }
    update.members = decodeMembers(in.members());
    update.rangeEnd = in.range_end();
    return update;
}

void encode(const SnapshotMessage &snapshot, proto::SnapshotReply &out)
{
    out.set_revision(snapshot.revision);
    for (const Entry &entry : snapshot.entries) {
        out.add_entries(encodeEntry(entry));
    }
}

Result<SnapshotMessage> decode(const proto::SnapshotReply &in)
{
    SnapshotMessage snapshot;
    snapshot.revision = in.revision();
    for (const std::string &text : in.entries()) {
        auto entry = decodeEntry(text);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        snapshot.entries.push_back(std::move(*entry));
    }
    return snapshot;
}

} // namespace vanillanotch
