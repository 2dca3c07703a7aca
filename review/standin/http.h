// Blocking HTTP/1.1 server and client for the stand-ins of the review. One
// thread serves one connection. Loopback only.
#ifndef REVIEW_STANDIN_HTTP_H_
#define REVIEW_STANDIN_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>

namespace review {

using clock_type = std::chrono::steady_clock;

struct http_request {
  std::string method;
  std::string path;  ///< Without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct http_response {
  int status = 200;
  std::string body = "{}";
  bool is_dropped = false;  ///< The connection is closed without an answer.
};

inline std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      plain.push_back(text[i]);
    }
  }
  return plain;
}

inline std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Reads one message (start line, headers, body by Content-Length). `buffer`
/// keeps bytes of the next message. Returns false at the end of the stream or
/// at `deadline`.
inline bool ReadMessage(int socket,
                        std::string& buffer,
                        std::string& start,
                        std::map<std::string, std::string>& headers,
                        std::string& body,
                        clock_type::time_point deadline) {
  const auto receive = [&] {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - clock_type::now());
    pollfd waiting{socket, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t head = 0;
  while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!receive()) {
      return false;
    }
  }
  headers.clear();
  std::size_t line = buffer.find("\r\n");
  start = buffer.substr(0, line);
  while (line < head) {
    const std::size_t begin = line + 2;
    line = buffer.find("\r\n", begin);
    const std::string text = buffer.substr(begin, line - begin);
    const std::size_t colon = text.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') {
        ++value;
      }
      headers[ToLower(text.substr(0, colon))] = text.substr(value);
    }
  }
  const auto length = headers.find("content-length");
  const std::size_t size =
      length == headers.end() ? 0 : std::stoul(length->second);
  while (buffer.size() < head + 4 + size) {
    if (!receive()) {
      return false;
    }
  }
  body = buffer.substr(head + 4, size);
  buffer.erase(0, head + 4 + size);
  return true;
}

inline bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

/// Returns a free port. A socket stays bound to it without listening, so that
/// nobody else is given it; a server that sets SO_REUSEADDR can listen on it.
inline int FreePort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

using http_handler = std::function<http_response(const http_request&)>;

inline void ServeConnection(int socket, const http_handler& handle) {
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  std::string buffer;
  std::string start;
  http_request request;
  while (ReadMessage(socket, buffer, start, request.headers, request.body,
                     clock_type::now() + std::chrono::hours(1))) {
    const std::size_t space = start.find(' ');
    request.method = start.substr(0, space);
    const std::string target =
        start.substr(space + 1, start.rfind(' ') - space - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query.clear();
    std::size_t begin = mark;
    while (begin != std::string::npos) {
      const std::size_t end = target.find('&', begin + 1);
      const std::string item = target.substr(
          begin + 1, end == std::string::npos ? end : end - begin - 1);
      const std::size_t equals = item.find('=');
      if (equals != std::string::npos) {
        request.query[item.substr(0, equals)] =
            Unescape(item.substr(equals + 1));
      }
      begin = end;
    }
    const http_response response = handle(request);
    if (response.is_dropped ||
        !SendAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" +
                             response.body)) {
      break;
    }
  }
  ::close(socket);
}

/// Listens on a free loopback port and returns it.
inline int StartServer(http_handler handle) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(listener, 256) != 0) {
    return 0;
  }
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread([listener, handle = std::move(handle)] {
    for (;;) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) {
        std::thread(ServeConnection, socket, handle).detach();
      }
    }
  }).detach();
  return ntohs(address.sin_port);
}

/// Sends one request on a new connection. Status 0: no answer in time.
inline http_response Call(int port,
                          const std::string& method,
                          const std::string& target,
                          const std::map<std::string, std::string>& headers,
                          const std::string& body,
                          std::chrono::milliseconds timeout) {
  const auto deadline = clock_type::now() + timeout;
  http_response response;
  response.status = 0;
  response.body.clear();
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(socket);
    return response;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) +
          "\r\nConnection: close\r\n\r\n" + body;
  std::string buffer;
  std::string start;
  std::map<std::string, std::string> answer_headers;
  if (SendAll(socket, text) &&
      ReadMessage(socket, buffer, start, answer_headers, response.body,
                  deadline)) {
    response.status = std::stoi(start.substr(start.find(' ') + 1));
  }
  ::close(socket);
  return response;
}

}  // namespace review

#endif  // REVIEW_STANDIN_HTTP_H_
