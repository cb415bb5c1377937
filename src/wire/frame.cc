#include "knapweed/wire/frame.h"

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

constexpr size_t kFirstBufferBytes = 512;

}  // namespace

flatbuffers::DetachedBuffer EncodeFrame(uint64_t correlation,
                                        const wire::BodyUnion& body) {
  flatbuffers::FlatBufferBuilder builder(kFirstBufferBytes);
  const flatbuffers::Offset<void> packed = body.Pack(builder);
  builder.FinishSizePrefixed(wire::CreateFrame(builder, kProtocolVersion,
                                               correlation, body.type, packed));
  return builder.Release();
}

absl::StatusOr<Message> DecodeFrame(std::span<const uint8_t> bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!wire::VerifySizePrefixedFrameBuffer(verifier)) {
    return absl::InvalidArgumentError("the frame is malformed");
  }
  const wire::Frame* frame = wire::GetSizePrefixedFrame(bytes.data());
  if (frame->version() != kProtocolVersion) {
    return absl::InvalidArgumentError(
        absl::StrCat("protocol version ", frame->version(), ", expected ",
                     kProtocolVersion));
  }
  if (frame->body() == nullptr || frame->body_type() == wire::Body::NONE ||
      frame->body_type() > wire::Body::MAX) {
    return absl::InvalidArgumentError("the frame holds no known message");
  }
  Message message;
  message.correlation = frame->correlation();
  message.body.type = frame->body_type();
  message.body.value =
      wire::BodyUnion::UnPack(frame->body(), frame->body_type(), nullptr);
  return message;
}

}  // namespace knapweed
