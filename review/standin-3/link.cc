#include "review/standin-3/link.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "review/standin-3/lab.h"
#include "sassafras/config/address.h"

namespace sassafras::review {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr double kBitsPerByte = 8;

}  // namespace

// One connection. Each direction holds one small block at a time.
class link::pipe : public std::enable_shared_from_this<pipe> {
 public:
  pipe(std::shared_ptr<link> owner, tcp::socket client)
      : owner_(std::move(owner)),
        sockets_{std::move(client), tcp::socket(owner_->context_)},
        timers_{asio::steady_timer(owner_->context_),
                asio::steady_timer(owner_->context_)} {}

  void Start() {
    sockets_[1].async_connect(
        owner_->target_,
        [self = shared_from_this()](boost::system::error_code code) {
          if (code) {
            self->Close();
            return;
          }
          boost::system::error_code ignored;
          self->sockets_[0].set_option(tcp::no_delay(true), ignored);
          self->sockets_[1].set_option(tcp::no_delay(true), ignored);
          self->Read(kUp);
          self->Read(kDown);
        });
  }

 private:
  void Read(direction way) {
    sockets_[way].async_read_some(
        asio::buffer(blocks_[way]),
        [self = shared_from_this(), way](boost::system::error_code code,
                                         std::size_t bytes) {
          if (code) {
            self->Close();
            return;
          }
          self->timers_[way].expires_after(self->owner_->Pass(way, bytes));
          self->timers_[way].async_wait(
              [self, way, bytes](boost::system::error_code cancelled) {
                if (!cancelled) {
                  self->Write(way, bytes);
                }
              });
        });
  }

  void Write(direction way, std::size_t bytes) {
    asio::async_write(
        sockets_[1 - way], asio::buffer(blocks_[way], bytes),
        [self = shared_from_this(), way](boost::system::error_code code,
                                         std::size_t /*bytes*/) {
          if (code) {
            self->Close();
          } else {
            self->Read(way);
          }
        });
  }

  void Close() {
    boost::system::error_code ignored;
    for (int i = 0; i < 2; ++i) {
      timers_[i].cancel();
      sockets_[i].close(ignored);
    }
  }

  std::shared_ptr<link> owner_;
  tcp::socket sockets_[2];  // The client's, the target's.
  asio::steady_timer timers_[2];
  std::array<char, 4096> blocks_[2];
};

std::shared_ptr<link> link::Make(asio::io_context& context,
                                 const std::string& target,
                                 double mbps) {
  auto made = std::shared_ptr<link>(new link(context, target, mbps));
  made->Accept();
  return made;
}

link::link(asio::io_context& context, const std::string& target, double mbps)
    : context_(context),
      acceptor_(context),
      bytes_per_us_(mbps / kBitsPerByte) {
  const auto parsed = ParseAddress(target);
  target_ = tcp::endpoint(asio::ip::make_address(parsed->host), parsed->port);
  const tcp::endpoint local(asio::ip::make_address("127.0.0.1"), 0);
  acceptor_.open(local.protocol());
  acceptor_.bind(local);
  acceptor_.listen();
  address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void link::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](boost::system::error_code code,
                                  tcp::socket client) {
        if (!code) {
          std::make_shared<pipe>(self, std::move(client))->Start();
        }
        self->Accept();
      });
}

duration link::Pass(direction way, std::size_t bytes) {
  const instant now = Now();
  free_at_[way] = std::max(free_at_[way], now) +
                  duration(static_cast<std::int64_t>(
                      static_cast<double>(bytes) / bytes_per_us_));
  return free_at_[way] - now;
}

}  // namespace sassafras::review
