#include <catch2/catch.hpp>
#include <set>

#include "sassafras/core/counter_table.h"
#include "sassafras/core/digest.h"
#include "sassafras/core/id.h"
#include "sassafras/core/result.h"

namespace sassafras {

TEST_CASE(
    "Every error kind has a unique name and counter, a status and a text") {
  std::set<std::string_view> names;
  std::set<std::string_view> counters;
  for (int i = 0; i < kErrorKindCount; ++i) {
    const error_info& info = GetErrorInfo(static_cast<error_kind>(i));
    names.insert(info.name);
    counters.insert(info.counter);
    CHECK(info.http_status >= 400);
    CHECK_FALSE(info.text.empty());
  }
  CHECK(names.size() == kErrorKindCount);
  CHECK(counters.size() == kErrorKindCount);
}

TEST_CASE("name_id::Make accepts only valid names") {
  SECTION("letters, digits and separators are accepted") {
    CHECK(team_id::Make("heaters-lahore_1.a"));
  }
  SECTION("names that would corrupt a row key or a URL path are rejected") {
    for (const std::string_view bad : {"", "-a", "a/b", "a b", "a\n"}) {
      CHECK_FALSE(team_id::Make(bad));
    }
    CHECK_FALSE(team_id::Make(std::string(kMaxNameLength + 1, 'a')));
  }
}

TEST_CASE("Counters start with every error kind at zero") {
  counter_table counters;
  CHECK(counters.Snapshot().size() == kErrorKindCount);
  counters.AddError(error_kind::kQueueFull);
  counters.Add("retry_connect", 2);
  CHECK(counters.Get("refused_queue_full") == 1);
  CHECK(counters.Get("retry_connect") == 2);
  CHECK(counters.Get("absent") == 0);
}

TEST_CASE("Digests are SHA-256 and are compared over their full length") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(ConstantTimeEqual("abc", "abc"));
  CHECK_FALSE(ConstantTimeEqual("abc", "abd"));
  CHECK_FALSE(ConstantTimeEqual("abc", "ab"));
}

}  // namespace sassafras
