// Tests of reading JSON and CBOR that another process wrote.
#include <doctest/doctest.h>

#include <string>

#include "knapweed/base/json.h"

namespace knapweed {
namespace {

using nlohmann::json;

std::string Nested(int depth, char open, char close) {
  return std::string(static_cast<size_t>(depth), open) +
         std::string(static_cast<size_t>(depth), close);
}

TEST_CASE("a document that is malformed or nested too deep is discarded") {
  struct Row {
    const char* what;
    std::string text;
    bool is_read;
  };
  const Row rows[] = {
      {"empty", "", false},
      {"number", "1", true},
      {"deep enough", Nested(kMaxJsonDepth, '[', ']'), true},
      {"too deep", Nested(kMaxJsonDepth + 1, '[', ']'), false},
      {"very deep", Nested(500000, '[', ']'), false},
      {"very deep, not closed", std::string(500000, '['), false},
      {"brackets in a text", "\"" + std::string(1000, '[') + "\"", true},
      {"after an escaped quote", R"(["\"[[[[", [1]])", true},
      {"after an escaped backslash", R"(["\\", [1]])", true},
      {"a text that does not end", "[\"abc", false},
      {"a text that ends in an escape", "[\"abc\\\"", false},
      {"a number too large", "[1e999]", false},
      {"not UTF-8", "[\"\xAE\"]", false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    CHECK(ParseJson(row.text).is_discarded() == !row.is_read);
  }
}

TEST_CASE("CBOR that is malformed or nested too deep is discarded") {
  struct Row {
    const char* what;
    std::string bytes;
    bool is_read;
  };
  const auto repeat = [](size_t n, const char* bytes) {
    std::string all;
    for (size_t i = 0; i < n; ++i) all += bytes;
    return all;
  };
  const Row rows[] = {
      {"empty", "", false},
      {"number", "\x01", true},
      {"deep enough", repeat(kMaxJsonDepth, "\x81") + "\x01", true},
      {"too deep", repeat(kMaxJsonDepth + 1, "\x81") + "\x01", false},
      {"very deep", repeat(500000, "\x81"), false},
      {"very deep, without lengths", repeat(500000, "\x9f"), false},
      {"very deep objects", repeat(500000, "\xbf\x60"), false},
      {"a length beyond all memory", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
       false},
      {"a text beyond all memory", "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff",
       false},
      {"more than one value", "\x01\x01", false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    CHECK(ParseCbor(row.bytes).is_discarded() == !row.is_read);
  }
}

TEST_CASE("fields of another type or size have their neutral value") {
  const json object = ParseJson(
      R"({"text":"x","count":7,"many":18446744073709551615,"less":-1,)"
      R"("real":1.5,"huge":1e300,"flag":true,"none":null,"list":[1]})");
  REQUIRE(object.is_object());
  CHECK(TextField(object, "text") == "x");
  CHECK(CountField(object, "count") == 7);
  CHECK(CountField(object, "many") == kMaxJsonCount);
  CHECK(CountField(object, "less") == 0);
  CHECK(NumberField(object, "real") == 1.5);
  CHECK(FlagField(object, "flag"));
  CHECK(MsField(object, "count") == Ms{7});
  CHECK(MsField(object, "less") == Ms{-1});
  for (const char* name : {"many", "real", "huge", "none", "list", "absent"}) {
    const std::string what = name;
    CAPTURE(what);
    CHECK_FALSE(MsField(object, name).has_value());
    CHECK(TextField(object, name).empty());
    CHECK_FALSE(FlagField(object, name));
  }
  for (const json& other : {json(1), json(), json::array({object})}) {
    CHECK(FindField(other, "text") == nullptr);
    CHECK(NumberField(other, "count") == 0);
  }
}

TEST_CASE("a text that is not UTF-8 is written") {
  const std::string text = DumpJson({{"id",
                                      "a\xAE"
                                      "b"}});
  CHECK_FALSE(ParseJson(text).is_discarded());
}

}  // namespace
}  // namespace knapweed
