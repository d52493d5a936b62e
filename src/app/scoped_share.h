// A part of a limited amount, held until the end of its scope.
#ifndef CHIVEGLADE_APP_SCOPED_SHARE_H_
#define CHIVEGLADE_APP_SCOPED_SHARE_H_

#include <cstdint>

namespace chiveglade::app {

// Adds `amount` to `used`, which must outlive this, unless that would exceed
// `limit`. An amount above the limit is granted while nothing else is.
class scoped_share {
 public:
  scoped_share(uint64_t& used, uint64_t amount, uint64_t limit)
      : used_(used),
        amount_(amount),
        granted_(used == 0 || used + amount <= limit) {
    used_ += granted_ ? amount_ : 0;
  }
  ~scoped_share() { used_ -= granted_ ? amount_ : 0; }
  scoped_share(const scoped_share&) = delete;
  scoped_share& operator=(const scoped_share&) = delete;

  bool granted() const { return granted_; }

 private:
  uint64_t& used_;
  const uint64_t amount_;
  const bool granted_;
};

}  // namespace chiveglade::app

#endif  // CHIVEGLADE_APP_SCOPED_SHARE_H_
