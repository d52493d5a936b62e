// A TCP relay whose open connections can go silent in one direction or both,
// without a reset, while new ones work.
#ifndef CHIVEGLADE_TESTS_NET_SILENT_RELAY_H_
#define CHIVEGLADE_TESTS_NET_SILENT_RELAY_H_

#include <array>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <memory>

#include "chiveglade/net/executor.h"

namespace chiveglade::net {

enum class silence { kToServer, kToClient, kBoth };

// Between clients that connect to port() and a server on loopback. To be
// destroyed after the event loop has stopped.
class silent_relay {
 public:
  silent_relay(asio::io_context& loop, uint16_t server)
      : loop_(loop),
        server_(asio::ip::address_v4::loopback(), server),
        acceptor_(loop, {asio::ip::address_v4::loopback(), 0}) {
    asio::spawn(
        asio::make_strand(loop),
        [this](const yield& yield) {
          for (;;) {
            boost::system::error_code error;
            auto link = std::make_shared<ends>(loop_);
            acceptor_.async_accept(link->client, yield[error]);
            if (error) {
              return;
            }
            Serve(link);
          }
        },
        asio::detached);
  }

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Connections accepted so far.
  int accepted() const { return accepted_; }

  // The connections that are open now lose all bytes, and the end of the
  // connection, in these directions.
  void SilenceOpen(silence which) {
    if (which != silence::kToClient) {
      server_silent_before_ = accepted_.load();
    }
    if (which != silence::kToServer) {
      client_silent_before_ = accepted_.load();
    }
  }

 private:
  struct ends {
    explicit ends(asio::io_context& loop)
        : client(asio::make_strand(loop)), server(client.get_executor()) {}
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;
  };

  void Serve(const std::shared_ptr<ends>& link) {
    const int number = accepted_++;
    asio::spawn(
        link->client.get_executor(),
        [this, link, number](const yield& yield) {
          boost::system::error_code error;
          link->server.async_connect(server_, yield[error]);
          if (error) {
            link->client.close(error);
            return;
          }
          link->client.set_option(asio::ip::tcp::no_delay(true), error);
          link->server.set_option(asio::ip::tcp::no_delay(true), error);
          asio::spawn(
              link->client.get_executor(),
              [this, link, number](const net::yield& inner) {
                Pass(link->server, link->client, number, client_silent_before_,
                     inner);
              },
              asio::detached);
          Pass(link->client, link->server, number, server_silent_before_,
               yield);
        },
        asio::detached);
  }

  static void Pass(asio::ip::tcp::socket& from,
                   asio::ip::tcp::socket& to,
                   int number,
                   const std::atomic<int>& silent_before,
                   const yield& yield) {
    boost::system::error_code error;
    std::array<char, 16UL * 1024> bytes;
    for (;;) {
      const size_t size =
          from.async_read_some(asio::buffer(bytes), yield[error]);
      const bool passes = number >= silent_before;
      if (error) {
        if (passes) {
          to.shutdown(asio::socket_base::shutdown_send, error);
        }
        return;
      }
      if (passes) {
        asio::async_write(to, asio::buffer(bytes, size), yield[error]);
      }
    }
  }

  asio::io_context& loop_;
  const asio::ip::tcp::endpoint server_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> accepted_ = 0;
  std::atomic<int> server_silent_before_ = 0;
  std::atomic<int> client_silent_before_ = 0;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_TESTS_NET_SILENT_RELAY_H_
