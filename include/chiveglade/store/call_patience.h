// How long to wait for a store that answers more slowly than usual.
#ifndef CHIVEGLADE_STORE_CALL_PATIENCE_H_
#define CHIVEGLADE_STORE_CALL_PATIENCE_H_

#include "chiveglade/core/clock.h"

namespace chiveglade::store {

// Adapts the timeout of calls to how long answers take.
//
// Answers this load: a store that takes tens of times as long as usual and
// carries out the writes of a part one after another. With a fixed timeout
// below its answer time, each caller repeats writes that are still queued, and
// the copies keep the store from ever catching up. A lost answer in between
// other answers does not make later calls wait longer. Not thread-safe.
class call_patience {
 public:
  // `usual` is the timeout while the store is well, `longest` the limit.
  call_patience(millis usual, millis longest);

  millis timeout() const { return timeout_; }
  // A call was answered after this time.
  void OnAnswer(millis took);
  // A call with this timeout was not answered.
  void OnSilence(millis timeout);

 private:
  const millis usual_;
  const millis longest_;
  millis timeout_;
};

}  // namespace chiveglade::store

#endif  // CHIVEGLADE_STORE_CALL_PATIENCE_H_
