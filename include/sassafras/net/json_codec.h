#ifndef SASSAFRAS_NET_JSON_CODEC_H_
#define SASSAFRAS_NET_JSON_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "sassafras/core/result.h"
#include "sassafras/net/table_port.h"
#include "sassafras/net/vm_list_port.h"
#include "sassafras/net/worker_port.h"

// Encode and decode JSON bodies of the platform's and workers' HTTP interfaces.
// Unknown fields are ignored. Every Decode function fails with kMalformed.

namespace sassafras {

std::string EncodeTransaction(const table_transaction& transaction);
result<table_transaction> DecodeTransaction(std::string_view text);

std::string EncodeRows(const std::vector<table_row>& rows);
result<std::vector<table_row>> DecodeRows(std::string_view text);

std::string EncodeVmList(const std::vector<vm_entry>& entries);
result<std::vector<vm_entry>> DecodeVmList(std::string_view text);

std::string EncodeTaskStart(const task_start& start);
result<task_start> DecodeTaskStart(std::string_view text);

std::string EncodeReports(const std::vector<task_report>& reports);
result<std::vector<task_report>> DecodeReports(std::string_view text);

}  // namespace sassafras

#endif  // SASSAFRAS_NET_JSON_CODEC_H_
