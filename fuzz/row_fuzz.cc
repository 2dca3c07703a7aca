// Fuzzes the reading of table rows, stored answers and the bodies of the
// platform's and the workers' answers. A row that was read is written and read
// again, and must be the same.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "sassafras/cluster/config_follower.h"
#include "sassafras/job/job_row.h"
#include "sassafras/net/json_codec.h"
#include "sassafras/request/claim_record.h"
#include "sassafras/request/request_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto job = sassafras::DecodeJobRow("job/a", text);
  if (job) {
    const std::string written = sassafras::EncodeJobRow(job.value());
    const auto again = sassafras::DecodeJobRow("job/a", written);
    if (!again || sassafras::EncodeJobRow(again.value()) != written) {
      std::abort();
    }
  }
  (void)sassafras::DecodeClaim(text);
  (void)sassafras::DecodeConfigRow(text);
  (void)sassafras::DecodeStoredAnswer(text);
  (void)sassafras::DecodeTransaction(text);
  (void)sassafras::DecodeRows(text);
  (void)sassafras::DecodeVmList(text);
  (void)sassafras::DecodeTaskStart(text);
  (void)sassafras::DecodeReports(text);
  return 0;
}
