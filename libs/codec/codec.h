#ifndef MAGNOLIAREEL_CODEC_CODEC_H_
#define MAGNOLIAREEL_CODEC_CODEC_H_

/** @file
    @brief Module codec: the JSON encoding of messages, of the platform's table
    rows and of the operators' configuration document. Decisions are made in
    other modules.

    Depends on core, messages, document, history and jsoncpp.

    Topics: json/ (validating reader for JSON objects), history/ (recorded
    histories), document/ (the configuration document), and one folder for each
    kind of peer that messages are exchanged with.
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
