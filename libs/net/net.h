#ifndef MAGNOLIAREEL_NET_NET_H_
#define MAGNOLIAREEL_NET_NET_H_

/** @file
    @brief Module net: event loops and the sockets that they serve.

    Depends on core, settings, libuv and http-parser.

    Topics: loop/ (event loop, timers, mailboxes between threads), streams/
    (TCP), datagrams/ (UDP), http/ (small HTTP/1.1 client and server on an event
    loop). The module does not interpret the payloads.
*/
#include "net/datagrams/datagram_socket.h"
#include "net/http/http_connection.h"
#include "net/http/http_listener.h"
#include "net/loop/event_loop.h"
#include "net/loop/loop_timer.h"
#include "net/loop/mailbox.h"
#include "net/streams/stream.h"
#include "net/streams/stream_listener.h"

#endif  // MAGNOLIAREEL_NET_NET_H_
