#ifndef MAGNOLIAREEL_CODEC_DOCUMENT_DOCUMENT_CODEC_H_
#define MAGNOLIAREEL_CODEC_DOCUMENT_DOCUMENT_CODEC_H_

#include <string_view>

#include "core/core.h"
#include "document/document.h"

namespace magnoliareel {

/** Parses and checks a configuration document.

    @param text      document as JSON
    @param findings  receives every fault with a JSON pointer
    @returns         the document, valid only if there are no findings
*/
Document ParseDocument(std::string_view text, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_DOCUMENT_DOCUMENT_CODEC_H_
