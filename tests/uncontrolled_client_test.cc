// Starts sassafras-entry and sends what clients send that keep to no limit.
// Checks only what does not depend on the machine's speed: the process lives,
// its memory and descriptors stay under a bound, and an ordinary request is
// answered afterwards.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sassafras {
namespace {

using namespace std::chrono_literals;

// The smallest machine has 120 MB. Half of it is left for the system and for
// bytes that the kernel has received and the process has not read.
constexpr long kMaxPeakKb = 61'440;
constexpr int kMaxDescriptors = 900;
constexpr int kCrowd = 24;
constexpr std::size_t kBytesEach = 8 << 20;
constexpr int kBodyCrowd = 200;
constexpr std::size_t kBodyBytes = 1'000'000;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int FreePort() {
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  REQUIRE(::bind(probe, reinterpret_cast<sockaddr*>(&address), length) == 0);
  ::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
  ::close(probe);
  return ntohs(address.sin_port);
}

// One client connection. Bytes that the server does not take are given up.
class client {
 public:
  explicit client(int port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = Loopback(port);
    is_open_ = ::connect(socket_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  ~client() { ::close(socket_); }
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  // Returns false once the server has closed the connection or reads no more.
  bool Send(const std::string& text) {
    std::size_t sent = 0;
    while (is_open_ && sent < text.size()) {
      pollfd ready{socket_, POLLOUT, 0};
      if (::poll(&ready, 1, 1000) <= 0) {
        is_open_ = false;
        break;
      }
      const auto count = ::send(socket_, text.data() + sent, text.size() - sent,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno != EAGAIN) {
        is_open_ = false;
      }
    }
    return is_open_;
  }

  // Reads until the first `text` or the end; returns what was read.
  std::string ReadUntil(const std::string& text) {
    std::string answer;
    char buffer[4096];
    pollfd ready{socket_, POLLIN, 0};
    while (answer.find(text) == std::string::npos &&
           ::poll(&ready, 1, 20'000) > 0) {
      const auto count = ::recv(socket_, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        break;
      }
      answer.append(buffer, static_cast<std::size_t>(count));
    }
    return answer;
  }

 private:
  int socket_;
  bool is_open_ = false;
};

// One entry process without a store.
class entry_process {
 public:
  entry_process()
      : callers(FreePort()), readiness(FreePort()), status(FreePort()) {
    folder_ = std::filesystem::temp_directory_path() /
              ("sassafras-client-test-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
    const std::string file = folder_ / "entry.yaml";
    const std::string log = folder_ / "entry.log";
    std::ofstream(file) << "id: e1\nplace: a\ncallers: 127.0.0.1:" << callers
                        << "\nreadiness: 127.0.0.1:" << readiness
                        << "\nstatus: 127.0.0.1:" << status
                        << "\nstore: 127.0.0.1:" << FreePort()
                        << "\ndescriptors: 4100\nmemory_mb: 120\n";
    std::string program = std::string(SASSAFRAS_BIN_DIR) + "/sassafras-entry";
    std::string option = "--config";
    std::string path = file;
    char* const arguments[] = {program.data(), option.data(), path.data(),
                               nullptr};
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    for (const int descriptor : {1, 2}) {
      ::posix_spawn_file_actions_addopen(&actions, descriptor, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
    }
    REQUIRE(::posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments,
                          environ) == 0);
    ::posix_spawn_file_actions_destroy(&actions);
    for (int tries = 0; tries < 500 && !IsListening(); ++tries) {
      std::this_thread::sleep_for(20ms);
    }
    REQUIRE(IsListening());
  }
  ~entry_process() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  bool IsAlive() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }

  long PeakKb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stol(line.substr(6));
      }
    }
    return 0;
  }

  // Waits until the process has read what the kernel holds for it: until its
  // peak memory stays the same for a while.
  void WaitUntilSettled() const {
    long before = -1;
    for (int tries = 0; tries < 20 && PeakKb() != before; ++tries) {
      before = PeakKb();
      std::this_thread::sleep_for(500ms);
    }
  }

  int CountDescriptors() const {
    int count = 0;
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) +
                                             "/fd")) {
      ++count;
    }
    return count;
  }

  const int callers;
  const int readiness;
  const int status;

 private:
  bool IsListening() const {
    client probe(status);
    return probe.Send("GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n") &&
           !probe.ReadUntil("\r\n\r\n").empty();
  }

  std::filesystem::path folder_;
  pid_t pid_ = 0;
};

void CheckOrdinaryRequests(const entry_process& entry) {
  client caller(entry.callers);
  REQUIRE(
      caller.Send("POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 2\r\n\r\n{}"));
  CHECK(caller.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
  client balancer(entry.readiness);
  REQUIRE(balancer.Send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"));
  CHECK(balancer.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
  client operators(entry.status);
  REQUIRE(operators.Send("GET /v1/status HTTP/1.1\r\nHost: a\r\n\r\n"));
  CHECK(operators.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

void CheckBounds(const entry_process& entry) {
  REQUIRE(entry.IsAlive());
  CHECK(entry.PeakKb() < kMaxPeakKb);
  CHECK(entry.CountDescriptors() < kMaxDescriptors);
}

// Opens the crowd, sends `head` on each connection and then `tail` again and
// again in turn, and keeps all connections open for the checks.
void PlayCrowd(const entry_process& entry,
               int port,
               int crowd,
               std::size_t bytes_each,
               const std::string& head,
               const std::string& tail) {
  std::vector<std::unique_ptr<client>> clients;
  for (int i = 0; i < crowd; ++i) {
    clients.push_back(std::make_unique<client>(port));
    clients.back()->Send(head);
  }
  for (std::size_t sent = 0; sent < bytes_each; sent += tail.size()) {
    for (const auto& one : clients) {
      one->Send(tail);
    }
  }
  entry.WaitUntilSettled();
  CheckBounds(entry);
  CheckOrdinaryRequests(entry);
}

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes) {
    repeated += text;
  }
  return repeated;
}

const std::string kChunkedHead =
    "POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t kPiece = 64 << 10;

TEST_CASE("Trailer fields without end do not fill the memory of a process") {
  entry_process entry;
  const int address = GENERATE(0, 1, 2);
  const int port = address == 0   ? entry.callers
                   : address == 1 ? entry.readiness
                                  : entry.status;
  PlayCrowd(entry, port, kCrowd, kBytesEach, kChunkedHead + "0\r\n",
            Repeat("field: value of a trailer\r\n", kPiece));
}

TEST_CASE("A trailer line without end does not fill the memory of a process") {
  entry_process entry;
  PlayCrowd(entry, entry.callers, kCrowd, kBytesEach,
            kChunkedHead + "0\r\nfield: ", Repeat("x", kPiece));
}

TEST_CASE("A chunk extension without end does not fill the memory") {
  entry_process entry;
  PlayCrowd(entry, entry.callers, kCrowd, kBytesEach,
            kChunkedHead + "1;e=", Repeat("x", kPiece));
}

TEST_CASE("Header fields without end do not fill the memory of a process") {
  entry_process entry;
  PlayCrowd(entry, entry.callers, kCrowd, kBytesEach, "GET / HTTP/1.1\r\n",
            Repeat("field: value of a header\r\n", kPiece));
}

// Fields that are parsed one by one as they come, because each piece ends
// within the next field.
TEST_CASE("Header fields in small pieces do not fill the memory of a process") {
  entry_process entry;
  std::vector<std::unique_ptr<client>> clients;
  for (int i = 0; i < kCrowd; ++i) {
    clients.push_back(std::make_unique<client>(entry.callers));
    clients.back()->Send("GET / HTTP/1.1\r\na");
  }
  const std::string piece = Repeat(":b\r\na", 3900);
  for (int sent = 0; sent < 300; ++sent) {
    for (const auto& one : clients) {
      one->Send(piece);
    }
    std::this_thread::sleep_for(5ms);
  }
  entry.WaitUntilSettled();
  CheckBounds(entry);
  CheckOrdinaryRequests(entry);
}

TEST_CASE("Bodies far over the limit do not fill the memory of a process") {
  entry_process entry;
  SECTION("announced") {
    PlayCrowd(entry, entry.callers, kCrowd, kBytesEach,
              "POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\n"
              "Content-Length: 1000000000\r\n\r\n",
              Repeat("x", kPiece));
  }
  SECTION("sent in chunks") {
    PlayCrowd(entry, entry.callers, kCrowd, kBytesEach, kChunkedHead,
              "10000\r\n" + Repeat("x", kPiece) + "\r\n");
  }
}

TEST_CASE("Bodies within the limit that never end do not fill the memory") {
  entry_process entry;
  PlayCrowd(entry, entry.callers, kBodyCrowd, kBodyBytes - kPiece,
            "POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\n"
            "Content-Length: 1000000\r\n\r\n",
            Repeat("x", kPiece));
}

// 16 KB of the shortest fields take more than ten times that once parsed.
TEST_CASE("Many tiny header fields before a body that never ends") {
  entry_process entry;
  std::string head =
      "POST /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nContent-Length: 9\r\n";
  for (int i = 0; i < 1700; ++i) {
    head += std::to_string(i) + ":1\r\n";
  }
  PlayCrowd(entry, entry.callers, kBodyCrowd, 0, head + "\r\n", "x");
}

// More connections than the address takes, each waiting for its request.
TEST_CASE("Idle connections do not keep an ordinary caller out") {
  entry_process entry;
  PlayCrowd(entry, entry.callers, 800, 0, "POST /queue", "x");
}

}  // namespace
}  // namespace sassafras
