#include "knapweed/gateway/stream_records.h"

#include <algorithm>
#include <utility>

#include "knapweed/base/json.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

constexpr Logger kLog("streams");

constexpr char kTable[] = "streams";
constexpr char kPartPrefix[] = "r";
/// A record without a new write counts for so long, and is written again well
/// within that time. A gateway that died for good leaves its record behind.
constexpr Ms kRecordTtl = Seconds(600);
constexpr Ms kRewriteInterval = Seconds(200);
constexpr Ms kSweepAfter = Seconds(3600);
/// A gateway's row counts for others for `kRecordTtl`, so the gateway itself
/// relies on it for less: its clock may have stood still for a while.
constexpr Ms kRelyOnRow = Seconds(400);
/// A stream waits no longer for its place to be recorded.
constexpr Ms kMaxRecordWait{1000};
/// A gateway that was told of a peer's row begins streams at its places for so
/// long; the peer keeps them for `kPeerReliesOnRow`, the longer of both.
constexpr Ms kRelyOnPeerRow = Seconds(50);
constexpr Ms kPeerReliesOnRow = Seconds(60);
constexpr Ms kRetryInterval{150};
constexpr Ms kIdleInterval{250};
constexpr Ms kReadTimeout{600};
/// Callers that resume at once share a read.
constexpr Ms kMinReadInterval{100};
/// Interval between writes that name new streams: the shortest, and its part
/// for each gateway, which bounds the writes of all gateways to some 160 a
/// second.
constexpr Ms kMinWriteInterval{50};
constexpr double kWriteIntervalMsPerGateway = 6;
/// The record of a stream that was sent whole stays for so long: its caller may
/// not have got the last bytes. A row has bounded size.
constexpr Ms kKeepEndedStreams = Seconds(10);
constexpr size_t kMaxStreams = 1000;

std::string PartName() { return std::string(kPartPrefix) + "0"; }

RowKey KeyOf(const std::string& name) { return {kTable, PartName(), name}; }

std::optional<Ms> ExpiresAt(std::string_view value, Ms retention) {
  const json row = ParseJson(value);
  const std::optional<Ms> at = MsField(row, "at_ms");
  if (!at.has_value()) return std::nullopt;
  return *at + std::max(retention, kSweepAfter);
}

/// A place is an array: route, service, version, and the longest time in ms
/// until a stream is resumed.
bool IsPlace(const json& item) {
  constexpr size_t kFieldCount = 4;
  return item.is_array() && item.size() == kFieldCount && item[0].is_string() &&
         item[1].is_string() && item[2].is_string() &&
         MsOf(item[3]).has_value();
}

}  // namespace

SweptTable StreamTable() { return {kTable, kPartPrefix, 1, ExpiresAt}; }

StreamRecords::StreamRecords(asio::io_context& loop, const Clock& clock,
                             RecordStore store, std::string name)
    : loop_(loop),
      clock_(clock),
      store_(std::move(store)),
      name_(std::move(name)),
      read_done_(loop),
      write_wanted_(loop),
      written_(loop) {}

std::optional<StreamRecords::Record> StreamRecords::Decode(
    const std::string& value) {
  const json row = ParseJson(value);
  const std::optional<Ms> written_at = MsField(row, "at_ms");
  const json* places = FindField(row, "places");
  const bool readable =
      written_at.has_value() && places != nullptr && places->is_array();
  if (!readable) return std::nullopt;
  Record record;
  record.written_at = *written_at;
  for (const json& item : *places) {
    // Leaving out one place would make the others look complete.
    if (!IsPlace(item)) return std::nullopt;
    record.places.push_back({{item[0], {item[1], item[2]}}, *MsOf(item[3])});
  }
  const auto streams = row.find("streams");
  if (streams == row.end() || !streams->is_object()) return record;
  for (const auto& [id, index] : streams->items()) {
    const bool fits = index.is_number_unsigned() &&
                      index.get<size_t>() < record.places.size();
    if (fits) record.streams[id] = index.get<size_t>();
  }
  return record;
}

std::string StreamRecords::Encode(Places which) const {
  json places = json::array();
  std::map<RouteOrigin, size_t> index;
  for (const auto& [place, own] : own_) {
    if (which == Places::kRecorded && !own.is_recorded) continue;
    index[place] = places.size();
    places.push_back({place.route, place.origin.service, place.origin.version,
                      own.longest_span.count});
  }
  json streams = json::object();
  for (const BegunStream& stream : begun_) {
    const auto it = index.find(stream.place);
    if (it != index.end()) streams[stream.request_id] = it->second;
  }
  return DumpJson({{"at_ms", store_.now().count},
                   {"places", std::move(places)},
                   {"streams", std::move(streams)}});
}

StreamRecords::OwnPlace& StreamRecords::Own(const RouteOrigin& place,
                                            Ms longest_span) {
  const auto [it, is_new] = own_.try_emplace(place);
  OwnPlace& own = it->second;
  if (is_new || own.longest_span < longest_span) {
    own.longest_span = std::max(own.longest_span, longest_span);
    is_changed_ = true;
    write_wanted_.Notify();
  }
  return own;
}

void StreamRecords::SetListed(std::span<const ListedPlace> places) {
  const Ms now = clock_.Now();
  for (auto& [place, own] : own_) {
    if (own.is_listed) own.needed_until = std::max(own.needed_until, now);
    own.is_listed = false;
  }
  for (const ListedPlace& place : places) {
    Own(place.at, place.longest_span).is_listed = true;
  }
}

void StreamRecords::NoteBegin(const RouteOrigin& place, Ms longest_span) {
  OwnPlace& own = Own(place, longest_span);
  own.needed_until = std::max(own.needed_until, clock_.Now());
}

bool StreamRecords::RowCounts() const {
  return row_version_ != 0 && clock_.Now() - written_at_ < kRelyOnRow;
}

bool StreamRecords::IsRecorded(const RouteOrigin& place) const {
  const auto it = own_.find(place);
  const bool in_own_row = it != own_.end() && it->second.is_recorded;
  if (in_own_row && RowCounts()) return true;
  const auto told = peer_places_.find(place);
  return told != peer_places_.end() && clock_.Now() < told->second;
}

bool StreamRecords::HasUnrecorded() const {
  return std::any_of(own_.begin(), own_.end(), [this](const auto& item) {
    return item.second.is_listed && !IsRecorded(item.first);
  });
}

bool StreamRecords::HasSeveralVersions(const std::string& service) const {
  const std::string* first = nullptr;
  for (const auto& [place, own] : own_) {
    if (place.origin.service != service) continue;
    if (first != nullptr && *first != place.origin.version) return true;
    first = &place.origin.version;
  }
  return false;
}

Task<bool> StreamRecords::WaitUntilRecorded(RouteOrigin place) {
  const Ms until = clock_.Now() + kMaxRecordWait;
  write_wanted_.Notify();
  while (!IsRecorded(place) && store_.reachable()) {
    const Ms left = until - clock_.Now();
    if (left <= Ms{0}) break;
    co_await written_.Wait(left);
  }
  co_return IsRecorded(place);
}

std::optional<Row> StreamRecords::RowForPeer() {
  if (!RowCounts()) return std::nullopt;
  const Ms until = clock_.Now() + kPeerReliesOnRow;
  bool has_place = false;
  for (auto& [place, own] : own_) {
    if (!own.is_recorded) continue;
    own.needed_until = until;
    has_place = true;
  }
  if (!has_place) return std::nullopt;
  return Row{KeyOf(name_), Encode(Places::kRecorded), row_version_, false};
}

void StreamRecords::ApplyPeerRow(const Row& row, Ms asked_at) {
  const std::optional<Record> record = Decode(row.value);
  if (!record.has_value()) return;
  for (const Place& place : record->places) {
    peer_places_[place.at] = asked_at + kRelyOnPeerRow;
  }
}

void StreamRecords::RecordStream(const std::string& request_id,
                                 const RouteOrigin& place) {
  const auto own = own_.find(place);
  const Ms span = own != own_.end() ? own->second.longest_span : Ms{0};
  begun_.push_back(
      {request_id, place, clock_.Now() + std::max(span, kKeepEndedStreams)});
  if (begun_.size() > kMaxStreams) begun_.pop_front();
  is_changed_ = true;
  write_wanted_.Notify();
}

void StreamRecords::EndStream(const std::string& request_id) {
  const Ms until = clock_.Now() + kKeepEndedStreams;
  for (BegunStream& stream : begun_) {
    if (stream.request_id == request_id) {
      stream.until = std::min(stream.until, until);
    }
  }
}

Task<bool> StreamRecords::Refresh() {
  const uint64_t needed = reads_begun_ + 1;
  while (reads_done_ < needed) {
    if (is_reading_) {
      const bool in_time = co_await read_done_.Wait(kReadTimeout);
      if (!in_time) co_return false;
      continue;
    }
    is_reading_ = true;
    co_await Sleep(loop_,
                   std::max(read_at_ + kMinReadInterval - clock_.Now(), Ms{0}));
    read_at_ = clock_.Now();
    const uint64_t number = ++reads_begun_;
    std::vector<Row> rows;
    RowRange range;
    range.table = kTable;
    range.part = PartName();
    read_succeeded_ = co_await store_.read(range, &rows);
    if (read_succeeded_) read_succeeded_ = Apply(rows);
    is_reading_ = false;
    reads_done_ = number;
    read_done_.Notify();
  }
  co_return read_succeeded_;
}

bool StreamRecords::Apply(const std::vector<Row>& rows) {
  records_.clear();
  bool all_readable = true;
  for (const Row& row : rows) {
    if (row.deleted) continue;
    std::optional<Record> record = Decode(row.value);
    if (!record.has_value()) {
      kLog.Warning("A gateway's record of streams can't be decoded.",
                   {{"key", row.key.key}});
      all_readable = false;
      continue;
    }
    if (store_.now() - record->written_at > kRecordTtl) continue;
    records_.push_back(*std::move(record));
  }
  return all_readable;
}

std::vector<PossibleOrigin> StreamRecords::PossibleOrigins(
    std::string_view route) const {
  std::vector<PossibleOrigin> possible;
  // Any of them may be in use until it is withdrawn.
  const Ms now = clock_.Now();
  for (const auto& [place, own] : own_) {
    if (place.route != route) continue;
    possible.push_back({place.origin.service, place.origin.version, now});
  }
  for (const Record& record : records_) {
    for (const Place& place : record.places) {
      if (place.at.route != route) continue;
      possible.push_back(
          {place.at.origin.service, place.at.origin.version, read_at_});
    }
  }
  return possible;
}

std::optional<StreamOrigin> StreamRecords::Find(
    const std::string& request_id) const {
  for (const Record& record : records_) {
    const auto it = record.streams.find(request_id);
    if (it == record.streams.end()) continue;
    return record.places[it->second].at.origin;
  }
  return std::nullopt;
}

void StreamRecords::DropExpired() {
  const Ms now = clock_.Now();
  const auto dropped = std::erase_if(own_, [&](const auto& item) {
    const OwnPlace& own = item.second;
    return !own.is_listed && now - own.needed_until > own.longest_span;
  });
  if (dropped > 0) is_changed_ = true;
  std::erase_if(begun_,
                [now](const BegunStream& it) { return it.until < now; });
}

Ms StreamRecords::WriteInterval() const {
  const double ms = kWriteIntervalMsPerGateway * static_cast<double>(gateways_);
  return std::max(kMinWriteInterval, Ms{static_cast<int64_t>(ms)});
}

bool StreamRecords::LacksPlace() const {
  return std::any_of(own_.begin(), own_.end(),
                     [](const auto& item) { return !item.second.is_recorded; });
}

bool StreamRecords::IsDue() const {
  const Ms age = clock_.Now() - written_at_;
  if (LacksPlace()) return true;
  if (is_changed_) return age >= WriteInterval();
  return !own_.empty() && age >= kRewriteInterval;
}

void StreamRecords::TakeOver(const Row& row) {
  row_version_ = row.deleted ? 0 : row.version;
  const std::optional<Record> record = Decode(row.value);
  if (row.deleted || !record.has_value()) return;
  const Ms now = clock_.Now();
  for (const Place& place : record->places) {
    OwnPlace& own = own_[place.at];
    own.needed_until = std::max(own.needed_until, now);
    own.longest_span = std::max(own.longest_span, place.longest_span);
    own.is_recorded = true;
  }
  const Ms age = std::max(store_.now() - record->written_at, Ms{0});
  written_at_ = std::max(written_at_, now - age);
  for (const auto& [id, index] : record->streams) {
    const Place& place = record->places[index];
    begun_.push_back({id, place.at, now + place.longest_span});
  }
  while (begun_.size() > kMaxStreams) begun_.pop_front();
}

Task<bool> StreamRecords::Write() {
  const RowKey key = KeyOf(name_);
  Commit commit;
  commit.conditions.push_back({key, row_version_});
  commit.writes.push_back({key, Encode(Places::kAll)});
  std::vector<RouteOrigin> written;
  for (const auto& [place, own] : own_) written.push_back(place);
  const size_t streams = begun_.size();
  is_changed_ = false;
  const StoreAnswer answer = co_await store_.write(commit);
  if (answer.outcome == StoreOutcome::kDone) {
    row_version_ = answer.version;
    written_at_ = clock_.Now();
    for (const RouteOrigin& place : written) {
      const auto it = own_.find(place);
      if (it != own_.end()) it->second.is_recorded = true;
    }
    kLog.Debug("Recorded where streams begin.",
               {{"places", written.size()}, {"streams", streams}});
    written_.Notify();
    co_return true;
  }
  is_changed_ = true;
  // Those that wait look whether the store is still reachable.
  written_.Notify();
  if (answer.outcome != StoreOutcome::kConflict) co_return false;
  row_version_ = 0;
  for (const Row& row : answer.rows) {
    if (row.key == key) TakeOver(row);
  }
  co_return true;
}

Task<void> StreamRecords::Run() {
  while (true) {
    DropExpired();
    bool ok = true;
    if (IsDue() && store_.reachable()) {
      ok = co_await Write();
    }
    if (!ok) {
      co_await Sleep(loop_, kRetryInterval);
    }
    if (LacksPlace() && store_.reachable()) continue;
    const Ms until_write = written_at_ + WriteInterval() - clock_.Now();
    if (is_changed_ && store_.reachable()) {
      co_await Sleep(loop_, std::max(until_write, Ms{1}));
    } else {
      co_await write_wanted_.Wait(kIdleInterval);
    }
  }
}

}  // namespace knapweed::gateway
