#ifndef MAGNOLIAREEL_DOCUMENT_DOCUMENT_H_
#define MAGNOLIAREEL_DOCUMENT_DOCUMENT_H_

/** @file
    @brief Module document: the operators' configuration document as values,
    and the checks that it must pass.

    Depends on core.

    Topics: model/ (the values), checks/ (rules across the whole document).
*/
#include "document/checks/check_document.h"
#include "document/model/document_model.h"

#endif  // MAGNOLIAREEL_DOCUMENT_DOCUMENT_H_
