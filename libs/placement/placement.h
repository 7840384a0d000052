#ifndef MAGNOLIAREEL_PLACEMENT_PLACEMENT_H_
#define MAGNOLIAREEL_PLACEMENT_PLACEMENT_H_

/** @file
    @brief Module placement: chooses the endpoint of a read by measured cost.

    Depends on core. No sockets, encodings or system clocks.

    Topics: estimates/ (response times and outcomes of an endpoint), ejection/
    (endpoints that are not used for a time), spillover/ (share of the reads
    that leaves a level of distance), choice/ (the decision).
*/
#include "placement/choice/read_placement.h"
#include "placement/ejection/ejection.h"
#include "placement/estimates/endpoint_record.h"
#include "placement/estimates/outcome_window.h"
#include "placement/estimates/response_estimate.h"
#include "placement/spillover/spillover_share.h"

#endif  // MAGNOLIAREEL_PLACEMENT_PLACEMENT_H_
