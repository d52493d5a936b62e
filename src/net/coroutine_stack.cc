#include "chiveglade/net/coroutine_stack.h"

#include <sys/mman.h>
#include <unistd.h>

#include <mutex>
#include <new>
#include <vector>

namespace chiveglade::net {

namespace {

constexpr size_t kStackBytes = 128UL * 1024;
// Those of the requests that a process usually handles at one time.
constexpr size_t kKeptStacks = 32;

size_t GuardBytes() {
  static const auto size = static_cast<size_t>(::sysconf(_SC_PAGESIZE));
  return size;
}

// Lowest addresses of free stacks. Never destroyed: coroutines of static
// objects may end later.
struct free_stacks {
  std::mutex mutex;
  std::vector<void*> stacks;  // the last one was used last
};

free_stacks& FreeStacks() {
  static auto* const out = new free_stacks;
  return *out;
}

void* Map() {
  const size_t size = GuardBytes() + kStackBytes;
  void* const at = ::mmap(nullptr, size, PROT_READ | PROT_WRITE,
                          MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (at == MAP_FAILED) {
    throw std::bad_alloc();
  }
  if (::mprotect(at, GuardBytes(), PROT_NONE) != 0) {
    ::munmap(at, size);
    throw std::bad_alloc();
  }
  return at;
}

}  // namespace

boost::context::stack_context coroutine_stack::allocate() {
  void* at = nullptr;
  {
    auto& free = FreeStacks();
    const std::lock_guard lock(free.mutex);
    if (!free.stacks.empty()) {
      at = free.stacks.back();
      free.stacks.pop_back();
    }
  }
  if (!at) {
    at = Map();
  }
  boost::context::stack_context out;
  out.size = GuardBytes() + kStackBytes;
  out.sp = static_cast<char*>(at) + out.size;
  return out;
}

void coroutine_stack::deallocate(boost::context::stack_context& stack) {
  void* const at = static_cast<char*>(stack.sp) - stack.size;
  {
    auto& free = FreeStacks();
    const std::lock_guard lock(free.mutex);
    if (free.stacks.size() < kKeptStacks) {
      free.stacks.push_back(at);
      return;
    }
  }
  ::munmap(at, stack.size);
}

}  // namespace chiveglade::net
