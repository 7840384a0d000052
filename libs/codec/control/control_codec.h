#ifndef MAGNOLIAREEL_CODEC_CONTROL_CONTROL_CODEC_H_
#define MAGNOLIAREEL_CODEC_CONTROL_CONTROL_CODEC_H_

#include <json/value.h>

#include "core/core.h"
#include "messages/messages.h"

namespace magnoliareel {

/** @param request  request to encode  @returns the request as JSON */
Json::Value EncodeObserveRequest(const ObserveRequest& request);
/** @param value  JSON  @param findings  receives every fault
    @returns the request, as far as it could be decoded */
ObserveRequest DecodeObserveRequest(const Json::Value& value,
                                    Findings& findings);

/** @param answer  answer to encode  @returns the answer as JSON */
Json::Value EncodeObserveAnswer(const ObserveAnswer& answer);
/** @param value  JSON  @param findings  receives every fault
    @returns the answer, as far as it could be decoded */
ObserveAnswer DecodeObserveAnswer(const Json::Value& value, Findings& findings);

/** @param offer  offer to encode  @returns the offer as JSON */
Json::Value EncodeDocumentOffer(const DocumentOffer& offer);
/** @param value  JSON  @param findings  receives every fault
    @returns the offer, as far as it could be decoded */
DocumentOffer DecodeDocumentOffer(const Json::Value& value, Findings& findings);

/** @param request  request to encode  @returns the request as JSON */
Json::Value EncodePromoteRequest(const PromoteRequest& request);
/** @param value  JSON  @param findings  receives every fault
    @returns the request, as far as it could be decoded */
PromoteRequest DecodePromoteRequest(const Json::Value& value,
                                    Findings& findings);

/** @param status  status to encode  @returns the status as JSON */
Json::Value EncodePoolerStatus(const PoolerStatus& status);
/** @param value  JSON  @param findings  receives every fault
    @returns the status, as far as it could be decoded */
PoolerStatus DecodePoolerStatus(const Json::Value& value, Findings& findings);

}  // namespace magnoliareel

#endif  // MAGNOLIAREEL_CODEC_CONTROL_CONTROL_CODEC_H_
