// Converts between the structs of the dissemination library and the generated protobuf messages; private to the peer
// library. decode() fails with InvalidConfiguration when a change or entry in the message can't be decoded, and with
// InvalidArgument when an exchange request has no sender, or a push request no range_end (the last member that the receiver pushes the
// update on to).
#pragma once

#include "dissemination/dissemination.h"
#include "peer/generated/peer.pb.h"

namespace vanillanotch
{

namespace proto = ::vanillanotch::peer;

void encode(const ExchangeMessage &message, proto::ExchangeRequest &out);
Result<ExchangeMessage> decode(const proto::ExchangeRequest &in);
void encode(const ExchangeReply &reply, proto::ExchangeReply &out);
Result<ExchangeReply> decode(const proto::ExchangeReply &in);
void encode(const PeerUpdate &update, proto::PushRequest &out);
Result<PeerUpdate> decode(const proto::PushRequest &in);
void encode(const SnapshotMessage &snapshot, proto::SnapshotReply &out);
Result<SnapshotMessage> decode(const proto::SnapshotReply &in);

} // namespace vanillanotch
