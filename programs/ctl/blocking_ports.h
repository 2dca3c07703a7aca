#ifndef SASSAFRAS_PROGRAMS_CTL_BLOCKING_PORTS_H_
#define SASSAFRAS_PROGRAMS_CTL_BLOCKING_PORTS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_adapters.h"

namespace sassafras {

/// The platform's ports as calls that wait for the answer. For sassafras-ctl,
/// which does one thing at a time.
class blocking_ports {
 public:
  explicit blocking_ports(const std::vector<std::string>& platform);

  commit_answer Commit(table_transaction transaction);
  read_answer Read(std::vector<std::string> keys);
  read_answer Scan(std::string prefix, std::string after, std::size_t limit);
  answer_state Put(std::string name, std::string value);
  object_answer Get(std::string name);

  /// Sends one HTTP request to `address`.
  http_answer Call(const std::string& address, http_request request);

 private:
  template <class Answer, class Start>
  Answer Wait(const Start& start);

  boost::asio::io_context context_;
  counter_table counters_;
  std::shared_ptr<http_client> client_;
  table_port table_;
  object_port objects_;
};

}  // namespace sassafras

#endif  // SASSAFRAS_PROGRAMS_CTL_BLOCKING_PORTS_H_
