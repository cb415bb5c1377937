#ifndef KNAPWEED_WIRE_FRAME_H_
#define KNAPWEED_WIRE_FRAME_H_

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <cstdint>
#include <span>

#include "absl/status/statusor.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

/// Sent in each frame; frames with another version are rejected.
inline constexpr uint16_t kProtocolVersion = 1;
/// Maximum size of a frame without its length prefix. A receiver closes the
/// connection on a larger one.
inline constexpr size_t kMaxFrameBytes = 16 << 20;
/// Size of the length prefix of each frame, a 32-bit little-endian integer.
inline constexpr size_t kFrameLengthBytes = 4;

/// A decoded message with the id that matches a reply to its request.
struct Message {
  uint64_t correlation = 0;
  wire::BodyUnion body;
};

/// Encodes a message as one frame, length prefix included. Does not check the
/// size against kMaxFrameBytes.
flatbuffers::DetachedBuffer EncodeFrame(uint64_t correlation,
                                        const wire::BodyUnion& body);

/// Verifies and decodes one frame, length prefix included. Returns
/// InvalidArgument with the reason if the frame is malformed, has another
/// protocol version or holds no known message. The bytes must be aligned to 8.
absl::StatusOr<Message> DecodeFrame(std::span<const uint8_t> bytes);

}  // namespace knapweed

#endif  // KNAPWEED_WIRE_FRAME_H_
