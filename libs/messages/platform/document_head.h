#ifndef MAGNOLIAREEL_MESSAGES_PLATFORM_DOCUMENT_HEAD_H_
#define MAGNOLIAREEL_MESSAGES_PLATFORM_DOCUMENT_HEAD_H_

#include <cstdint>
#include <string>

namespace magnoliareel {

/** Identifies the configuration document in force in an environment. */
struct DocumentHead {
  /** Version of the document; incremented with every change. */
  uint64_t version = 0;
  /** SHA-256 of the document's bytes, in hex; key of the document in the object
      store. */
  std::string hash;
  /** Operator who put the document in force. */
  std::string changed_by;
  /** Id of the write that produced this head, so that the writer can recognise
      its own write after the answer was lost. */
  std::string operation;

  auto operator<=>(const DocumentHead&) const = default;
};

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_MESSAGES_PLATFORM_DOCUMENT_HEAD_H_
