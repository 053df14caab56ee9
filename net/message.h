/* Incremental parser of one HTTP/1.1 request or response.

   net_message_feed accepts input in pieces of any size.  Parsing is done by
   libhttp-parser, which rejects ambiguous messages, such as those with both
   Content-Length and Transfer-Encoding.  It is not built in strict mode, so
   the heads and chunks of responses are checked here.  The whole body is
   buffered, up to the limit.  Not thread-safe.  */
#ifndef NET_MESSAGE_H
#define NET_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/chunks.h"

#define NET_HEADERS_MAX 96

/* A header field: offsets of NUL-terminated strings in net_headers.text.  A
   VALUE of 0 is an empty value.  */
struct net_header
{
  unsigned name;
  unsigned value;
};

struct net_headers
{
  GString *text;
  struct net_header entries[NET_HEADERS_MAX];
  unsigned count;
};

enum net_parse_state
{
  NET_INCOMPLETE, /* more input is needed */
  NET_COMPLETE,   /* the whole message has been read */
  NET_MALFORMED,
  NET_HEAD_TOO_LONG,
  NET_BODY_TOO_LONG,
  NET_BODY_OVER_BUDGET,
  NET_TOO_MANY_HEADERS
};

/* Memory for the bodies of several messages.  A body of up to SHARE bytes
   always fits; a longer one is refused once all of them together exceed MAX.
   The length that a request announces is taken before its body is read.  */
struct net_body_budget
{
  size_t used;
  size_t share;
  size_t max;
};

/* Size limits in bytes; 0 means unlimited.  BUDGET may be NULL; it outlives
   the messages.  */
struct net_limits
{
  size_t head;
  size_t body;
  struct net_body_budget *budget;
};

struct net_message
{
  http_parser parser;
  struct cp_http_syntax syntax; /* of a response */
  struct net_chunks chunks;     /* of its body, if that is chunked */
  struct net_limits limits;
  struct net_headers headers;
  GString *target; /* request target: path and query */
  GByteArray *body;
  size_t head_bytes;
  size_t budgeted; /* bytes of the body taken from the budget */
  enum net_parse_state state;
  bool started; /* at least one byte was read */
  bool headers_complete;
  bool bodiless;      /* a response without a body, as to HEAD */
  bool in_value;      /* the parser is in a header value */
  bool keep_alive;    /* valid once the message is complete */
  bool ends_at_close; /* the end of the connection ended the body */
};

/* KIND is HTTP_REQUEST or HTTP_RESPONSE.  */
void net_message_init (struct net_message *message, enum http_parser_type kind,
                       const struct net_limits *limits);
void net_message_finish (struct net_message *message);

/* Resets MESSAGE to parse the next message on the same connection.  */
void net_message_reset (struct net_message *message);

/* Parses up to LENGTH bytes of DATA and sets *USED to the number of bytes that
   belong to MESSAGE.  */
enum net_parse_state net_message_feed (struct net_message *message,
                                       const char *data, size_t length,
                                       size_t *used);

/* Reports an orderly close of the connection: completes a response whose body
   extends to the close, otherwise the message is malformed.  */
enum net_parse_state net_message_end (struct net_message *message);

/* Returns the value of the first header NAME, ignoring case, or NULL.  */
const char *net_headers_find (const struct net_headers *headers,
                              const char *name);

const char *net_headers_name (const struct net_headers *headers,
                              unsigned index);
const char *net_headers_value (const struct net_headers *headers,
                               unsigned index);

/* Returns whether header INDEX must not be forwarded: it is hop-by-hop
   (RFC 9110, 7.6.1) or frames the body.  */
bool net_headers_hop_by_hop (const struct net_headers *headers,
                             unsigned index);

#endif
