#ifndef MAGNOLIAREEL_CODEC_CONTROL_CONTROL_CODEC_H_
#define MAGNOLIAREEL_CODEC_CONTROL_CONTROL_CODEC_H_

#include <json/value.h>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param request  any request  @returns its JSON */
Json::Value EncodeObserveRequest(const ObserveRequest& request);
/** @param value  JSON  @param findings  receives every fault  @returns it */
ObserveRequest DecodeObserveRequest(const Json::Value& value,
                                    Findings& findings);

/** @param answer  any answer  @returns its JSON */
Json::Value EncodeObserveAnswer(const ObserveAnswer& answer);
/** @param value  JSON  @param findings  receives every fault  @returns it */
ObserveAnswer DecodeObserveAnswer(const Json::Value& value, Findings& findings);

/** @param offer  any offer  @returns its JSON */
Json::Value EncodeDocumentOffer(const DocumentOffer& offer);
/** @param value  JSON  @param findings  receives every fault  @returns it */
DocumentOffer DecodeDocumentOffer(const Json::Value& value, Findings& findings);

/** @param request  any request  @returns its JSON */
Json::Value EncodePromoteRequest(const PromoteRequest& request);
/** @param value  JSON  @param findings  receives every fault  @returns it */
PromoteRequest DecodePromoteRequest(const Json::Value& value,
                                    Findings& findings);

/** @param status  any status  @returns its JSON */
Json::Value EncodePoolerStatus(const PoolerStatus& status);
/** @param value  JSON  @param findings  receives every fault  @returns it */
PoolerStatus DecodePoolerStatus(const Json::Value& value, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_CONTROL_CONTROL_CODEC_H_
