#include <catch2/catch.hpp>

#include "sassafras/net/peer_codec.h"
#include "sassafras/request/request_codec.h"

namespace sassafras {
namespace {

TEST_CASE("A slot message is unchanged after encoding and decoding") {
  const slot_message sent{{"lab"},  {{"g1"}, "17"},  "18", 3, 2, 5,
                          {64, 65}, {{"m1"}, {"m2"}}};
  const std::string bytes = EncodeSlotMessage(sent, "piwhma");
  const auto common = DecodePeerMessage(bytes);
  REQUIRE(common.has_value());
  CHECK(common.value().kind == kSlotMessageKind);
  CHECK(common.value().cluster == "piwhma");
  const auto got = DecodeSlotMessage(bytes);
  REQUIRE(got.has_value());
  CHECK(got->from == sent.from);
  CHECK(got->to_incarnation == "18");
  CHECK(got->number == 3);
  CHECK(got->last_received == 2);
  CHECK(got->requested_slots == 5);
  CHECK(got->held_loans == sent.held_loans);
  CHECK(got->lent_slots == sent.lent_slots);
  CHECK_FALSE(DecodeSlotMessage("\xc1").has_value());
  CHECK_FALSE(DecodeSlotMessage(bytes.substr(0, 20)).has_value());
}

TEST_CASE("A stored answer keeps every byte of its body including NUL") {
  minion_answer answer;
  answer.status = 201;
  answer.body = std::string("a\0\xff", 3);
  const std::string value = EncodeStoredAnswer(answer);
  const auto got = DecodeStoredAnswer(value);
  REQUIRE(got.has_value());
  CHECK(got->status == 201);
  CHECK(got->body == answer.body);
  CHECK_FALSE(DecodeStoredAnswer(value.substr(0, 4)).has_value());
}

}  // namespace
}  // namespace sassafras
