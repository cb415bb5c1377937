#include "knapweed/journal/log_rows.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/string_view.h"
#include "knapweed/base/ids.h"

namespace knapweed {
namespace {

using Json = nlohmann::json;

/// Numbers are padded with zeros to this width so that keys sort by number.
constexpr size_t kBatchDigits = 12;
constexpr std::string_view kInlinePrefix = "batch ";
constexpr std::string_view kObjectPrefix = "object ";

std::string PadNumber(uint64_t n) {
  std::string digits = std::to_string(n);
  if (digits.size() >= kBatchDigits) return digits;
  return std::string(kBatchDigits - digits.size(), '0') + digits;
}

std::string WithPrefix(std::string_view kind, std::string_view incarnation) {
  std::string name(kind);
  name.append(incarnation);
  return name;
}

}  // namespace

std::string BatchPrefix(std::string_view incarnation) {
  return WithPrefix("journal/", incarnation) + "/";
}

std::string BatchKey(std::string_view incarnation, uint64_t batch) {
  return BatchPrefix(incarnation) + PadNumber(batch);
}

std::optional<uint64_t> BatchOfKey(std::string_view key) {
  const size_t slash = key.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  key.remove_prefix(slash + 1);
  uint64_t batch = 0;
  const char* end = key.data() + key.size();
  const auto result = std::from_chars(key.data(), end, batch);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return batch;
}

std::string CheckpointKey(std::string_view incarnation) {
  return WithPrefix("checkpoint/", incarnation);
}

std::string BatchObjectName(std::string_view incarnation, uint64_t batch) {
  return WithPrefix("batch/", incarnation) + "/" + PadNumber(batch);
}

std::string SegmentName(std::string_view incarnation, uint64_t number) {
  return WithPrefix("segment/", incarnation) + "/" + PadNumber(number);
}

std::string EncodeCheckpoint(const Checkpoint& checkpoint) {
  Json segments = Json::array();
  for (const SegmentInfo& it : checkpoint.segments) {
    segments.push_back({{"name", it.name}, {"bytes", it.bytes}});
  }
  const Json json = {{"segments", segments},
                     {"first_batch", checkpoint.first_batch},
                     {"revision", checkpoint.revision}};
  return json.dump();
}

std::optional<Checkpoint> DecodeCheckpoint(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto segments = json.find("segments");
  const auto first = json.find("first_batch");
  const auto revision = json.find("revision");
  if (segments == json.end() || !segments->is_array()) return std::nullopt;
  if (first == json.end() || !first->is_number_unsigned()) return std::nullopt;
  if (revision == json.end() || !revision->is_number_unsigned()) {
    return std::nullopt;
  }
  Checkpoint checkpoint;
  checkpoint.first_batch = first->get<uint64_t>();
  checkpoint.revision = revision->get<uint64_t>();
  for (const Json& it : *segments) {
    if (!it.is_object()) return std::nullopt;
    const auto name = it.find("name");
    const auto bytes = it.find("bytes");
    if (name == it.end() || !name->is_string()) return std::nullopt;
    if (bytes == it.end() || !bytes->is_number_unsigned()) return std::nullopt;
    checkpoint.segments.push_back(
        {name->get<std::string>(), bytes->get<uint64_t>()});
  }
  return checkpoint;
}

std::string PackBatch(std::string_view incarnation, uint64_t batch,
                      const std::vector<journal::RecordT>& records) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<journal::Record>> offsets;
  offsets.reserve(records.size());
  for (const journal::RecordT& it : records) {
    offsets.push_back(journal::CreateRecord(builder, &it));
  }
  const auto name =
      builder.CreateString(incarnation.data(), incarnation.size());
  const auto list = builder.CreateVector(offsets);
  builder.Finish(journal::CreateBatch(builder, name, batch, list));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

const journal::Batch* UnpackBatch(std::string_view bytes) {
  // A segment may have more records than the verifier allows tables by default.
  constexpr size_t kMaxDepth = 16;
  constexpr size_t kMaxTables = 1 << 28;
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size(), kMaxDepth, kMaxTables);
  if (!journal::VerifyBatchBuffer(verifier)) return nullptr;
  return journal::GetBatch(data);
}

std::string InlineRowText(std::string_view bytes) {
  std::string text(kInlinePrefix);
  text += absl::Base64Escape({bytes.data(), bytes.size()});
  return text;
}

std::string ObjectRowText(std::string_view name, std::string_view bytes) {
  std::string text(kObjectPrefix);
  text += Sha256Hex(bytes);
  text += ' ';
  text += name;
  return text;
}

std::string ObjectNameIn(std::string_view row_text) {
  if (!row_text.starts_with(kObjectPrefix)) return "";
  const size_t space = row_text.find(' ', kObjectPrefix.size());
  if (space == std::string_view::npos) return "";
  return std::string(row_text.substr(space + 1));
}

absl::StatusOr<std::string> BatchBytes(const ObjectStore& objects,
                                       std::string_view row_text) {
  std::string bytes;
  if (row_text.starts_with(kInlinePrefix)) {
    row_text.remove_prefix(kInlinePrefix.size());
    if (!absl::Base64Unescape({row_text.data(), row_text.size()}, &bytes)) {
      return absl::DataLossError("a journal row is not valid base64");
    }
  } else {
    const std::string name = ObjectNameIn(row_text);
    if (name.empty()) return absl::DataLossError("a journal row is damaged");
    absl::StatusOr<std::string> object = objects.get(name);
    if (!object.ok()) return object.status();
    if (ObjectRowText(name, *object) != row_text) {
      return absl::DataLossError("a journal object is damaged");
    }
    bytes = std::move(*object);
  }
  if (UnpackBatch(bytes) == nullptr) {
    return absl::DataLossError("a journal batch is damaged");
  }
  return bytes;
}

}  // namespace knapweed
