#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_DOCUMENT_HEAD_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_DOCUMENT_HEAD_H_

#include <cstdint>
#include <string>

namespace magnoliareel {

/** Names the configuration document that is in force in one environment. */
struct DocumentHead {
  /** Grows by one with every change. */
  uint64_t version = 0;
  /** SHA-256 of the document's bytes, in hex; its name in the object store. */
  std::string hash;
  /** Who put it in force. */
  std::string changed_by;
  /** Names the write that produced this head, to recognise it after its
      answer was lost. */
  std::string operation;

  auto operator<=>(const DocumentHead&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_DOCUMENT_HEAD_H_
