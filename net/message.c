#include <string.h>
#include <strings.h>

#include "net/message.h"

/* Largest Content-Length, in bytes, for which the body buffer is allocated up
   front; a larger buffer grows as data arrives.  */
#define BODY_PREALLOCATION_MAX 65536

static int
stop_parsing (struct net_message *message, enum net_parse_state state)
{
  message->state = state;
  return 1;
}

static int
on_target (http_parser *parser, const char *data, size_t length)
{
  struct net_message *message = parser->data;

  g_string_append_len (message->target, data, (gssize)length);
  return 0;
}

static int
on_field (http_parser *parser, const char *data, size_t length)
{
  struct net_message *message = parser->data;
  struct net_headers *headers = &message->headers;

  if (message->headers_complete)
    return 0;
  if (message->in_value || headers->count == 0)
    {
      if (headers->count == NET_HEADERS_MAX)
        return stop_parsing (message, NET_TOO_MANY_HEADERS);
      if (headers->count > 0)
        g_string_append_c (headers->text, '\0');
      headers->entries[headers->count].name = (unsigned)headers->text->len;
      headers->entries[headers->count].value = 0;
      headers->count++;
      message->in_value = false;
    }
  g_string_append_len (headers->text, data, (gssize)length);
  return 0;
}

static int
on_value (http_parser *parser, const char *data, size_t length)
{
  struct net_message *message = parser->data;
  struct net_headers *headers = &message->headers;

  if (message->headers_complete)
    return 0;
  if (!message->in_value)
    {
      g_string_append_c (headers->text, '\0');
      headers->entries[headers->count - 1].value
          = (unsigned)headers->text->len;
      message->in_value = true;
    }
  g_string_append_len (headers->text, data, (gssize)length);
  return 0;
}

/* Returns the size of the start line and headers on the wire, not counting
   optional whitespace.  Each header takes two bytes more there than in
   headers.text: ": " and CRLF against two NULs.  */
static size_t
head_wire_size (const struct net_message *message)
{
  return message->target->len + message->headers.text->len
         + 2 * (size_t)message->headers.count
         + strlen ("GET  HTTP/1.1\r\n\r\n");
}

/* Returns whether every header name is a token (RFC 9110, 5.1). libhttp-parser
   accepts spaces in names unless it was built in strict mode; another parser
   of the same message may take such a name for a different header.  */
static bool
names_are_tokens (const struct net_headers *headers)
{
  static const char punctuation[] = "!#$%&'*+-.^_`|~";

  for (unsigned i = 0; i < headers->count; i++)
    {
      const char *name = net_headers_name (headers, i);

      if (*name == '\0')
        return false;
      for (; *name != '\0'; name++)
        if (!g_ascii_isalnum (*name) && strchr (punctuation, *name) == NULL)
          return false;
    }
  return true;
}

/* Returns whether the body of a response has a coding that is decoded here:
   none, or chunked alone.  Another one would be taken for the body, since the
   field that names it is not forwarded, and so would chunks that the parser
   does not recognize as such, as behind "chunked" and a tab.  HTTP/1.0 has no
   codings, and the framing of a message that names one is faulty (RFC 9112,
   section 6.1).  */
static bool
has_known_coding (const struct net_message *message)
{
  const struct net_headers *headers = &message->headers;
  unsigned n_codings = 0;

  for (unsigned i = 0; i < headers->count; i++)
    {
      const char *value = net_headers_value (headers, i);
      size_t length = strlen ("chunked");

      if (strcasecmp (net_headers_name (headers, i), "Transfer-Encoding") != 0)
        continue;
      if (n_codings++ > 0 || message->parser.http_minor == 0
          || (message->parser.flags & F_CHUNKED) == 0
          || strncasecmp (value, "chunked", length) != 0
          || value[length + strspn (value + length, " \t")] != '\0')
        return false;
    }
  return true;
}

/* Takes memory for a body of LENGTH bytes in all from the budget.  Returns
   false if it does not fit.  */
static bool
take_from_budget (struct net_message *message, size_t length)
{
  struct net_body_budget *budget = message->limits.budget;
  size_t more = length - MIN (length, message->budgeted);

  if (budget == NULL || more == 0)
    return true;
  if (length > budget->share && budget->used + more > budget->max)
    return false;
  budget->used += more;
  message->budgeted += more;
  return true;
}

/* Returns whether a message with this head has no body, whatever its fields
   say (RFC 9112, section 6.3).  */
static bool
has_no_body (const struct net_message *message)
{
  unsigned status = message->parser.status_code;

  if (message->parser.type == HTTP_REQUEST)
    return false;
  return message->bodiless || status < 200 || status == 204 || status == 304;
}

static int
on_headers (http_parser *parser)
{
  struct net_message *message = parser->data;
  uint64_t content_length = parser->content_length;
  bool no_body = has_no_body (message);

  message->headers_complete = true;
  g_string_append_c (message->headers.text, '\0');
  if (message->limits.head > 0
      && head_wire_size (message) > message->limits.head)
    {
      message->state = NET_HEAD_TOO_LONG;
      return -1;
    }
  if (!names_are_tokens (&message->headers)
      || (parser->type == HTTP_RESPONSE && !has_known_coding (message)))
    {
      message->state = NET_MALFORMED;
      return -1;
    }
  if (content_length == UINT64_MAX)
    return no_body ? 1 : 0;
  if (message->limits.body > 0 && content_length > message->limits.body
      && !no_body)
    {
      message->state = NET_BODY_TOO_LONG;
      return -1;
    }
  if (parser->type == HTTP_REQUEST
      && !take_from_budget (message, content_length))
    {
      message->state = NET_BODY_OVER_BUDGET;
      return -1;
    }
  if (content_length <= BODY_PREALLOCATION_MAX)
    {
      g_byte_array_set_size (message->body, (guint)content_length);
      g_byte_array_set_size (message->body, 0);
    }
  return no_body ? 1 : 0;
}

static void
return_to_budget (struct net_message *message)
{
  if (message->limits.budget != NULL)
    message->limits.budget->used -= message->budgeted;
  message->budgeted = 0;
}

static int
on_body (http_parser *parser, const char *data, size_t length)
{
  struct net_message *message = parser->data;

  if (message->limits.body > 0
      && message->body->len + length > message->limits.body)
    return stop_parsing (message, NET_BODY_TOO_LONG);
  if (!take_from_budget (message, message->body->len + length))
    return stop_parsing (message, NET_BODY_OVER_BUDGET);
  g_byte_array_append (message->body, (const guint8 *)data, (guint)length);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  struct net_message *message = parser->data;

  message->state = NET_COMPLETE;
  message->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = on_target,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_headers,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
net_message_init (struct net_message *message, enum http_parser_type kind,
                  const struct net_limits *limits)
{
  *message = (struct net_message){ .limits = *limits };
  http_parser_init (&message->parser, kind);
  message->parser.data = message;
  cp_http_syntax_init (&message->syntax);
  net_chunks_init (&message->chunks);
  message->headers.text = g_string_sized_new (512);
  message->target = g_string_new (NULL);
  message->body = g_byte_array_new ();
}

void
net_message_finish (struct net_message *message)
{
  g_string_free (message->headers.text, TRUE);
  g_string_free (message->target, TRUE);
  return_to_budget (message);
  g_byte_array_unref (message->body);
}

void
net_message_reset (struct net_message *message)
{
  http_parser_init (&message->parser,
                    (enum http_parser_type)message->parser.type);
  cp_http_syntax_init (&message->syntax);
  net_chunks_init (&message->chunks);
  g_string_truncate (message->headers.text, 0);
  g_string_truncate (message->target, 0);
  return_to_budget (message);
  g_byte_array_unref (message->body);
  message->body = g_byte_array_new ();
  message->headers.count = 0;
  message->head_bytes = 0;
  message->state = NET_INCOMPLETE;
  message->started = false;
  message->headers_complete = false;
  message->in_value = false;
  message->keep_alive = false;
  message->ends_at_close = false;
}

/* Checks DATA, which the parser has accepted.  Returns false if it is not what
   a response may contain.  */
static bool
check_syntax (struct net_message *message, const char *data, size_t length)
{
  size_t in_head;

  if (message->parser.type == HTTP_REQUEST)
    return true;
  in_head = cp_http_syntax_feed (&message->syntax, data, length);
  if (message->syntax.state == CP_HTTP_INVALID)
    return false;
  return (message->parser.flags & F_CHUNKED) == 0
         || net_chunks_feed (&message->chunks, data + in_head,
                             length - in_head);
}

enum net_parse_state
net_message_feed (struct net_message *message, const char *data, size_t length,
                  size_t *used)
{
  bool in_head = !message->headers_complete;
  size_t parsed;

  *used = 0;
  if (length == 0)
    return message->state;
  message->started = true;
  parsed = http_parser_execute (&message->parser, &callbacks, data, length);
  *used = parsed;
  if (in_head)
    message->head_bytes += parsed;
  if ((message->state == NET_INCOMPLETE || message->state == NET_COMPLETE)
      && !check_syntax (message, data, parsed))
    message->state = NET_MALFORMED;
  if (message->state != NET_INCOMPLETE)
    return message->state;
  if (HTTP_PARSER_ERRNO (&message->parser) != HPE_OK)
    message->state
        = HTTP_PARSER_ERRNO (&message->parser) == HPE_HEADER_OVERFLOW
              ? NET_HEAD_TOO_LONG
              : NET_MALFORMED;
  else if (!message->headers_complete && message->limits.head > 0
           && message->head_bytes > message->limits.head)
    message->state = NET_HEAD_TOO_LONG;
  return message->state;
}

enum net_parse_state
net_message_end (struct net_message *message)
{
  if (message->state != NET_INCOMPLETE)
    return message->state;
  message->ends_at_close = message->headers_complete;
  http_parser_execute (&message->parser, &callbacks, NULL, 0);
  if (message->state == NET_INCOMPLETE)
    message->state = NET_MALFORMED;
  return message->state;
}

const char *
net_headers_name (const struct net_headers *headers, unsigned index)
{
  return headers->text->str + headers->entries[index].name;
}

const char *
net_headers_value (const struct net_headers *headers, unsigned index)
{
  unsigned value = headers->entries[index].value;

  return value == 0 ? "" : headers->text->str + value;
}

const char *
net_headers_find (const struct net_headers *headers, const char *name)
{
  for (unsigned i = 0; i < headers->count; i++)
    if (strcasecmp (net_headers_name (headers, i), name) == 0)
      return net_headers_value (headers, i);
  return NULL;
}

/* Returns whether the comma-separated LIST contains TOKEN, ignoring case.  */
static bool
list_contains (const char *list, const char *token)
{
  size_t length = strlen (token);

  while (list != NULL && *list != '\0')
    {
      list += strspn (list, ", \t");
      if (strncasecmp (list, token, length) == 0
          && (list[length] == '\0' || strchr (", \t", list[length]) != NULL))
        return true;
      list += strcspn (list, ",");
    }
  return false;
}

bool
net_headers_hop_by_hop (const struct net_headers *headers, unsigned index)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Connection",
                                       "TE",
                                       "Transfer-Encoding",
                                       "Trailer",
                                       "Upgrade",
                                       "Content-Length",
                                       "Expect",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization" };
  const char *name = net_headers_name (headers, index);

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcasecmp (name, names[i]) == 0)
      return true;
  for (unsigned i = 0; i < headers->count; i++)
    if (strcasecmp (net_headers_name (headers, i), "Connection") == 0
        && list_contains (net_headers_value (headers, i), name))
      return true;
  return false;
}
