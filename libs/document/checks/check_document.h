#ifndef MAGNOLIAREEL_DOCUMENT_CHECKS_CHECK_DOCUMENT_H_
#define MAGNOLIAREEL_DOCUMENT_CHECKS_CHECK_DOCUMENT_H_

#include "core/core.h"
#include "document/model/document_model.h"

namespace magnoliareel {

/** Checks the rules that span the document: names are unique, references
    resolve, every group keeps a majority after the loss of one endpoint, and
    limits are consistent.

    @param document  document whose fields were parsed without findings
    @param findings  receives every violation with a JSON pointer
*/
void CheckDocument(const Document& document, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_DOCUMENT_CHECKS_CHECK_DOCUMENT_H_
