#ifndef SASSAFRAS_REVIEW_STANDIN_3_LINK_H_
#define SASSAFRAS_REVIEW_STANDIN_3_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "sassafras/core/time.h"

namespace sassafras::review {

/// The network link of one machine: a proxy to one address, all connections of
/// which share the bandwidth of each direction.
class link : public std::enable_shared_from_this<link> {
 public:
  /// Listens on a free address. `mbps` is in megabits per second.
  static std::shared_ptr<link> Make(boost::asio::io_context& context,
                                    const std::string& target,
                                    double mbps);

  const std::string& Address() const { return address_; }

 private:
  class pipe;
  enum direction { kUp, kDown };

  link(boost::asio::io_context& context,
       const std::string& target,
       double mbps);
  void Accept();
  /// Returns how long to wait before `bytes` have passed.
  duration Pass(direction way, std::size_t bytes);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::endpoint target_;
  std::string address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  double bytes_per_us_;
  instant free_at_[2];
};

}  // namespace sassafras::review

#endif  // SASSAFRAS_REVIEW_STANDIN_3_LINK_H_
