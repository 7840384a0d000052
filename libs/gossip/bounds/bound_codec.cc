#include "gossip/bounds/bound_codec.h"

#include "gossip/fields/datagram_fields.h"

namespace magnoliareel {
namespace {

// First field of each datagram. It changes with the layout of the other fields.
constexpr std::string_view kRequestMagic = "mrq1";
constexpr std::string_view kResponseMagic = "mra1";

}  // namespace

std::string EncodeFreshnessBoundRequest(const FreshnessBoundRequest& request) {
  return JoinFields({kRequestMagic, std::to_string(request.id),
                     request.address.Format(), request.query.service.value,
                     std::to_string(request.query.max_bound_age.count())});
}

bool DecodeFreshnessBoundRequest(std::string_view bytes,
                                 FreshnessBoundRequest& out) {
  if (TakeField(bytes) != kRequestMagic ||
      !ParseDecimal(TakeField(bytes), out.id) ||
      !ParseSocketAddress(std::string(TakeField(bytes)), out.address)) {
    return false;
  }
  out.query.service.value = TakeField(bytes);
  return !out.query.service.IsEmpty() &&
         DecodeDuration(TakeField(bytes), out.query.max_bound_age);
}

std::string EncodeFreshnessBoundResponse(
    const FreshnessBoundResponse& response) {
  const FreshnessBound& bound = response.bound;
  return JoinFields({kResponseMagic, std::to_string(response.id),
                     bound.service.value,
                     std::to_string(bound.point.term.value),
                     std::to_string(bound.point.position.value),
                     std::to_string(bound.age.count())});
}

bool DecodeFreshnessBoundResponse(std::string_view bytes,
                                  FreshnessBoundResponse& out) {
  if (TakeField(bytes) != kResponseMagic ||
      !ParseDecimal(TakeField(bytes), out.id)) {
    return false;
  }
  FreshnessBound& bound = out.bound;
  bound.service.value = TakeField(bytes);
  return !bound.service.IsEmpty() &&
         ParseDecimal(TakeField(bytes), bound.point.term.value) &&
         ParseDecimal(TakeField(bytes), bound.point.position.value) &&
         DecodeDuration(TakeField(bytes), bound.age);
}

}  // namespace magnoliareel
