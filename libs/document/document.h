#ifndef MAGNOLIAREEL_DOCUMENT_DOCUMENT_H_
#define MAGNOLIAREEL_DOCUMENT_DOCUMENT_H_

/** @file
    @brief Module document: the data model of the operators' configuration
    document and its validation.

    Depends on core.

    Topics: model/ (the data model), checks/ (rules that span the document).
*/
#include "document/checks/check_document.h"
#include "document/model/document_model.h"

#endif  // MAGNOLIAREEL_DOCUMENT_DOCUMENT_H_
