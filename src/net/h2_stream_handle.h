// The h2_stream that users of a connection hold.
#ifndef CHIVEGLADE_SRC_NET_H2_STREAM_HANDLE_H_
#define CHIVEGLADE_SRC_NET_H2_STREAM_HANDLE_H_

#include <memory>
#include <string_view>

#include "chiveglade/net/h2_stream.h"
#include "src/net/h2_connection.h"

namespace chiveglade::net {

// Carries calls to the strand of the connection. Its destructor abandons the
// stream.
class h2_stream_handle : public h2_stream {
 public:
  h2_stream_handle(std::shared_ptr<h2_connection> on,
                   h2_stream_state_ptr state);
  ~h2_stream_handle() override;
  h2_stream_handle(const h2_stream_handle&) = delete;
  h2_stream_handle& operator=(const h2_stream_handle&) = delete;

  const header_list& request_headers() const override;
  result<header_list> ReadHeaders(yield yield) override;
  result<done> WriteHeaders(const header_list& fields,
                            bool end,
                            yield yield) override;
  result<size_t> Read(char* into, size_t size, yield yield) override;
  result<done> Write(std::string_view bytes, bool end, yield yield) override;
  void Reset(h2_error code) override;
  void Probe() override;
  void TimeOut() override;
  verdict delivery() const override;

  // Ends whatever is still open of the stream. Thread-safe.
  void Abandon();

  asio::any_io_executor strand() const { return on_->strand(); }

 private:
  // Runs `call(session, state, resume)` on the strand and returns what it
  // resumes with.
  template <typename T, typename Call>
  T OnStrand(const yield& yield, Call call);

  const std::shared_ptr<h2_connection> on_;
  const h2_stream_state_ptr state_;
};

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_H2_STREAM_HANDLE_H_
