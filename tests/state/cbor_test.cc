#include <limits>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "src/state/cbor.h"

namespace chiveglade::state {

namespace {

using nlohmann::json;

std::string LibraryBytes(const json& in) {
  std::string out;
  json::to_cbor(in, out);
  return out;
}

const std::vector<uint64_t> kLengths = {
    0, 1, 23, 24, 255, 256, 65535, 65'536, 4294967295, 4294967296};

}  // namespace

// Guards against bytes that programs of earlier versions cannot read.
TEST_CASE("numbers and texts are written as an independent encoder does") {
  for (const uint64_t length : kLengths) {
    CAPTURE(length);
    const auto negative = -1 - static_cast<int64_t>(length);
    CHECK(WriteCbor(Row(length, negative)) ==
          LibraryBytes(json::array({length, negative})));
  }
  CHECK(WriteCbor(Row(std::numeric_limits<uint64_t>::max(),
                      std::numeric_limits<int64_t>::min(), uint8_t{7})) ==
        LibraryBytes(json::array({std::numeric_limits<uint64_t>::max(),
                                  std::numeric_limits<int64_t>::min(), 7})));
  for (const size_t length : {0, 23, 24, 255, 256, 70'000}) {
    const std::string text(length, 'x');
    cbor_array many;
    json library = json::array();
    for (size_t i = 0; i < length; ++i) {
      many.push_back(true);
      library.push_back(true);
    }
    CHECK(WriteCbor(Row(text, false, many)) ==
          LibraryBytes(json::array({text, false, library})));
  }
}

TEST_CASE("what an independent encoder writes is read") {
  const auto bytes = LibraryBytes(
      json::array({-7, 70'000, "text", true, json::array({"a", "b"}),
                   json::array({json::array({1}), json::array({2})})}));
  const auto view = ParseCborArray(bytes, "a test");
  REQUIRE(view);
  cbor_reader in(*view);
  CHECK(in.Int<int8_t>() == -7);
  CHECK(in.Int<uint32_t>() == 70'000);
  CHECK(in.Text() == "text");
  CHECK(in.Bool());
  CHECK(in.Texts() == std::vector<std::string>{"a", "b"});
  CHECK(in.List<int>([](cbor_reader& at) { return at.Int<int>(); }) ==
        std::vector<int>{1, 2});
  CHECK(in.Finished());
}

TEST_CASE("an element of another type or range fails the reader") {
  const auto fails = [](const json& value, auto read) {
    const auto bytes = LibraryBytes(json::array({value}));
    const auto view = ParseCborArray(bytes, "a test");
    REQUIRE(view);
    cbor_reader in(*view);
    read(in);
    return !in.ok() && !in.Finished();
  };
  const auto as_byte = [](cbor_reader& in) { in.Int<uint8_t>(); };
  CHECK(fails(256, as_byte));
  CHECK(fails(-1, as_byte));
  CHECK(fails("1", as_byte));
  CHECK(fails(nullptr, as_byte));
  CHECK(fails(1, [](cbor_reader& in) { in.Bool(); }));
  CHECK(fails(nullptr, [](cbor_reader& in) { in.Bool(); }));
  CHECK(fails(1, [](cbor_reader& in) { in.Text(); }));
  CHECK(fails("a", [](cbor_reader& in) { in.Array(); }));
  CHECK(fails(json::array({1}), [](cbor_reader& in) { in.Texts(); }));
}

TEST_CASE("what this format does not use is not plain") {
  CHECK_FALSE(IsPlainCbor(LibraryBytes(json::array({1.5}))));
  CHECK_FALSE(IsPlainCbor(LibraryBytes(json::object({{"a", 1}}))));
  // A boolean written as a long head, and a half-precision number with the same
  // argument.
  CHECK_FALSE(IsPlainCbor("\xf8\x15"));
  CHECK_FALSE(IsPlainCbor(std::string("\xf9\x00\x15", 3)));
  CHECK_FALSE(ParseCborArray(LibraryBytes(json::array()), "a test"));
  CHECK_FALSE(ParseCborArray(LibraryBytes(json(1)), "a test"));
}

}  // namespace chiveglade::state
