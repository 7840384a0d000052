#ifndef MAGNOLIAREEL_MESSAGES_MESSAGES_H_
#define MAGNOLIAREEL_MESSAGES_MESSAGES_H_

/** @file
    @brief Module messages: the types of the messages between callers, entries,
    poolers, endpoints and the platform, independent of their encoding.

    Depends on core.

    Topics: caller/ (caller to entry), pooler/ (entry to pooler), control/
    (operator to pooler, and pooler to pooler), endpoint/ (pooler to
    database), platform/ (table rows and the VM list).
*/
#include "messages/caller/caller_answer.h"
#include "messages/caller/caller_request.h"
#include "messages/caller/work_class.h"
#include "messages/control/control_messages.h"
#include "messages/endpoint/endpoint_answer.h"
#include "messages/endpoint/endpoint_call.h"
#include "messages/endpoint/endpoint_report.h"
#include "messages/endpoint/lineage.h"
#include "messages/platform/document_head.h"
#include "messages/platform/grant_row.h"
#include "messages/platform/table_row.h"
#include "messages/platform/vm_entry.h"
#include "messages/pooler/pooler_answer.h"
#include "messages/pooler/pooler_request.h"

#endif  // MAGNOLIAREEL_MESSAGES_MESSAGES_H_
