#include "gossip/bounds/bound_codec.h"

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr Word kRequestMagic = "mrq1";
constexpr Word kResponseMagic = "mra1";

}  // namespace

std::string EncodeFreshnessBoundRequest(const FreshnessBoundRequest& request) {
  return JoinFields(
      {kRequestMagic, Word(std::to_string(request.id)),
       Word(request.address.Format()), Word(request.query.service.value),
       Word(std::to_string(request.query.max_bound_age.count()))});
}

bool DecodeFreshnessBoundRequest(std::string_view bytes,
                                 FreshnessBoundRequest& out) {
  if (TakeField(bytes) != kRequestMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.id) ||
      !ParseSocketAddress(std::string(TakeField(bytes)), out.address)) {
    return false;
  }
  return TakeWord(bytes, out.query.service.value) &&
         DecodeDuration(TakeField(bytes), out.query.max_bound_age);
}

std::string EncodeFreshnessBoundResponse(
    const FreshnessBoundResponse& response) {
  const FreshnessBound& bound = response.bound;
  return JoinFields({kResponseMagic, Word(std::to_string(response.id)),
                     Word(bound.service.value),
                     Word(std::to_string(bound.point.term.value)),
                     Word(std::to_string(bound.point.position.value)),
                     Word(std::to_string(bound.age.count()))});
}

bool DecodeFreshnessBoundResponse(std::string_view bytes,
                                  FreshnessBoundResponse& out) {
  if (TakeField(bytes) != kResponseMagic.GetText() ||
      !ParseDecimal(TakeField(bytes), out.id)) {
    return false;
  }
  FreshnessBound& bound = out.bound;
  return TakeWord(bytes, bound.service.value) &&
         ParseDecimal(TakeField(bytes), bound.point.term.value) &&
         ParseDecimal(TakeField(bytes), bound.point.position.value) &&
         DecodeDuration(TakeField(bytes), bound.age);
}

}  // namespace magnoliareel
