// Requests for permits and returns between gateways.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/base/json.h"
#include "knapweed/gateway/permits.h"

namespace knapweed::gateway {
namespace {

const Address kSelf{"127.0.0.1", 1};

/// A gateway's process that holds all slots.
class Holder {
 public:
  explicit Holder(Clock& clock)
      : permits_(loop_, clock, metrics_, tolerance_, kSelf, kSelf.ToString(),
                 nullptr, [this](std::string_view) { return &workspace_; }) {
    workspace_.name = "ws";
    workspace_.rate_per_s = 2;
    SlotTable table;
    table.fill({kSelf, kSelf.ToString(), Ms{0}});
    const Row row{
        {"gateways", "", std::string(kSlotsKey)}, EncodeSlots(table), 1, false};
    permits_.slots().OnRead(nullptr);
    permits_.slots().OnAnnounced(clock.Now(), 1);
    permits_.slots().OnRead(&row);
    // It rests as long as permits of the process before may be in use.
    clock.Advance(Seconds(6));
    permits_.slots().OnAnnounced(clock.Now(), 2);
  }

  /// Returns the ids of all permits that it grants now.
  std::vector<uint64_t> TakeAll() {
    std::vector<uint64_t> ids;
    while (true) {
      const nlohmann::json answer =
          ParseJson(Answer({{"workspace", "ws"}}).body);
      if (!FlagField(answer, "granted")) return ids;
      ids.push_back(CountField(answer, "id"));
    }
  }
  void Return(uint64_t id) {
    CHECK(Answer({{"workspace", "ws"}, {"returned", id}}).status == 200);
  }
  size_t all() const { return PermitsOf(workspace_, tolerance_); }

 private:
  HttpResponse Answer(const nlohmann::json& body) {
    HttpRequest call;
    call.body = DumpJson(body);
    return permits_.AnswerPeer(call);
  }

  asio::io_context loop_;
  Metrics metrics_;
  QuotaTolerance tolerance_;
  Workspace workspace_;
  Permits permits_;
};

TEST_CASE("a returned permit can be granted again, once") {
  Clock clock = Clock::Manual(Seconds(100));
  Holder holder(clock);
  const std::vector<uint64_t> ids = holder.TakeAll();
  REQUIRE(ids.size() == holder.all());
  holder.Return(ids[0]);
  CHECK(holder.TakeAll().size() == 1);
  holder.Return(ids[0]);
  CHECK(holder.TakeAll().empty());
}

// Guards against calls beyond the bound after a holder's restart.
TEST_CASE("a permit of an earlier process frees none of the next") {
  Clock clock = Clock::Manual(Seconds(100));
  Holder earlier(clock);
  const std::vector<uint64_t> old_ids = earlier.TakeAll();
  Holder next(clock);
  REQUIRE(next.TakeAll().size() == next.all());
  for (const uint64_t id : old_ids) next.Return(id);
  CHECK(next.TakeAll().empty());
}

TEST_CASE("a return without a valid id is no request for a permit") {
  Clock clock = Clock::Manual(Seconds(100));
  Holder holder(clock);
  holder.Return(0);
  CHECK(holder.TakeAll().size() == holder.all());
}

}  // namespace
}  // namespace knapweed::gateway
