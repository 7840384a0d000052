#ifndef MAGNOLIAREEL_LINKS_LINKS_H_
#define MAGNOLIAREEL_LINKS_LINKS_H_

/** @file
    @brief Module links: HTTP calls with JSON bodies between processes. The
    links implement the concepts that the decision modules define; the other
    files hold the addresses of endpoints and peers, and exchange the
    configuration document with peers.

    Depends on core, codec, entry, failover, http, messages, rpc and settings.
*/
#include "links/document_forwarder.h"
#include "links/endpoint_address_map.h"
#include "links/http_endpoint_link.h"
#include "links/http_pooler_link.h"
#include "links/peer_document_poller.h"
#include "links/peer_list.h"
#include "links/rpc_link.h"

#endif  // MAGNOLIAREEL_LINKS_LINKS_H_
