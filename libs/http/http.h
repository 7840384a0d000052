#ifndef MAGNOLIAREEL_HTTP_HTTP_H_
#define MAGNOLIAREEL_HTTP_HTTP_H_

/** @file
    @brief Module http: an asynchronous HTTP/1.1 server and client.

    Depends on core, settings, libmicrohttpd and libcurl.

    Topics: server/ (HTTP server), client/ (HTTP client). Neither interprets the
    bodies.
*/
#include "http/client/http_client.h"
#include "http/server/http_responder.h"
#include "http/server/http_server.h"

#endif  // MAGNOLIAREEL_HTTP_HTTP_H_
