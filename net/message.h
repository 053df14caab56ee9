/* One HTTP/1.1 message as it is read: request or answer, its headers and its
   whole body.

   Bytes are given to net_message_feed as they come.  Parsing is libhttp-parser
   in its strict form; a message that can be read in two ways is refused.  The
   body is kept whole, up to the limit.  Not thread-safe.  */
#ifndef NET_MESSAGE_H
#define NET_MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NET_HEADERS_MAX 96

/* A header: offsets of terminated strings in the message's text.  */
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
  NET_INCOMPLETE, /* the message goes on */
  NET_COMPLETE,   /* it is whole */
  NET_MALFORMED,
  NET_HEAD_TOO_LONG,
  NET_BODY_TOO_LONG,
  NET_TOO_MANY_HEADERS
};

/* In bytes; 0 for none.  */
struct net_limits
{
  size_t head;
  size_t body;
};

struct net_message
{
  http_parser parser;
  struct net_limits limits;
  struct net_headers headers;
  GString *target; /* path and query of a request */
  GByteArray *body;
  size_t head_bytes;
  enum net_parse_state state;
  bool started; /* a byte of it was read */
  bool headers_complete;
  bool bodiless; /* answers HEAD */
  bool in_value;
  bool keep_alive;    /* set when it is whole */
  bool ends_at_close; /* an answer that ends with its connection */
};

/* KIND is HTTP_REQUEST or HTTP_RESPONSE.  */
void net_message_init (struct net_message *message, enum http_parser_type kind,
                       const struct net_limits *limits);
void net_message_finish (struct net_message *message);

/* Makes MESSAGE ready for the next one on its connection.  */
void net_message_reset (struct net_message *message);

/* Reads up to LENGTH bytes, sets *USED to how many belong to MESSAGE.  */
enum net_parse_state net_message_feed (struct net_message *message,
                                       const char *data, size_t length,
                                       size_t *used);

/* Tells MESSAGE that its connection has ended in order.  */
enum net_parse_state net_message_end (struct net_message *message);

/* Returns the value of the first header NAME, whatever its case, or NULL.  */
const char *net_headers_find (const struct net_headers *headers,
                              const char *name);

const char *net_headers_name (const struct net_headers *headers,
                              unsigned index);
const char *net_headers_value (const struct net_headers *headers,
                               unsigned index);

/* Returns whether header INDEX concerns one connection only (RFC 9110, 7.6.1)
   or frames the body.  */
bool net_headers_hop_by_hop (const struct net_headers *headers,
                             unsigned index);

#endif
