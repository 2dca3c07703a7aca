#ifndef SASSAFRAS_PROGRAMS_CTL_BLOCKING_PORTS_H_
#define SASSAFRAS_PROGRAMS_CTL_BLOCKING_PORTS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "sassafras/core/counter_table.h"
#include "sassafras/net/http_adapters.h"

namespace sassafras {

/// The table and object ports of the platform as blocking calls. Each call runs
/// the event loop until its answer arrives. For sassafras-ctl, which needs no
/// concurrent calls.
class blocking_ports {
 public:
  /// `platform` holds the "IP:port" addresses of the platform's service.
  explicit blocking_ports(const std::vector<std::string>& platform);

  /// Table calls; see table_port.
  commit_answer Commit(table_transaction transaction);
  read_answer Read(std::vector<std::string> keys);
  read_answer Scan(std::string prefix, std::string after, std::size_t limit);

  /// Object calls; see object_port.
  answer_state Put(std::string name, std::string value);
  object_answer Get(std::string name);

  /// Sends one HTTP request to `address` on a new connection.
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
