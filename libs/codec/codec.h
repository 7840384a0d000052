#ifndef MAGNOLIAREEL_CODEC_CODEC_H_
#define MAGNOLIAREEL_CODEC_CODEC_H_

/** @file
    @brief Module codec: the JSON encoding of messages, rows and the operators'
    document. No decisions are made here.

    Depends on core, messages, document, history and jsoncpp.

    Topics: json/ (checked reading of objects), and one folder for each family
    of messages.
*/
#include "codec/caller/caller_codec.h"
#include "codec/control/control_codec.h"
#include "codec/document/document_codec.h"
#include "codec/endpoint/endpoint_codec.h"
#include "codec/history/history_codec.h"
#include "codec/json/json_text.h"
#include "codec/json/object_reader.h"
#include "codec/platform/platform_codec.h"
#include "codec/pooler/pooler_codec.h"

#endif  // MAGNOLIAREEL_CODEC_CODEC_H_
