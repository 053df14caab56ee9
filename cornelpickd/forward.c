#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

/* Headers that apply to a single connection (RFC 9110, section 7.6.1), and
   Expect and Content-Length, which each side handles itself.  */
static const char *const hop_by_hop[] = { "Connection",
                                          "Keep-Alive",
                                          "Proxy-Connection",
                                          "TE",
                                          "Trailer",
                                          "Transfer-Encoding",
                                          "Upgrade",
                                          "Expect",
                                          "Content-Length",
                                          "Proxy-Authenticate",
                                          "Proxy-Authorization" };

static bool
is_hop_by_hop (const char *name, size_t length)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (strlen (hop_by_hop[i]) == length
        && strncasecmp (hop_by_hop[i], name, length) == 0)
      return true;
  return false;
}

static bool
is_cornelpick_header (const char *name)
{
  return strncasecmp (name, HEADER_PREFIX, strlen (HEADER_PREFIX)) == 0;
}

/* Returns whether the value CONNECTION of the Connection header lists NAME.
   CONNECTION may be NULL.  */
static bool
named_by_connection (const char *connection, const char *name, size_t length)
{
  const char *at = connection;

  while (at != NULL && *at != '\0')
    {
      size_t skip = strspn (at, ", \t");
      size_t item;

      at += skip;
      item = strcspn (at, ", \t");
      if (item == length && strncasecmp (at, name, length) == 0)
        return true;
      at += item;
    }
  return false;
}

bool
upstream_header_value (const struct upstream_head *head, const char *name,
                       char *value, size_t size)
{
  size_t length = strlen (name);

  for (const struct curl_slist *line = head->headers; line != NULL;
       line = line->next)
    if (strncasecmp (line->data, name, length) == 0
        && line->data[length] == ':')
      {
        const char *start = line->data + length + 1;

        snprintf (value, size, "%s", start + strspn (start, " \t"));
        return true;
      }
  return false;
}

void
append_header (struct curl_slist **headers, const char *name,
               const char *format, ...)
{
  va_list arguments;
  CP_AUTO_FREE char *value = NULL;
  CP_AUTO_FREE char *line = NULL;

  va_start (arguments, format);
  value = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  line = g_strconcat (name, ": ", value, NULL);
  *headers = curl_slist_append (*headers, line);
}

struct curl_slist *
forward_headers (const struct request *request)
{
  const struct mg_request_info *info = request->info;
  const char *connection = request_header (request, "Connection");
  /* libcurl adds a default value unless an empty header is given.  */
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");

  if (request_header (request, "Accept") == NULL)
    headers = curl_slist_append (headers, "Accept:");
  if (request_header (request, "Content-Type") == NULL)
    headers = curl_slist_append (headers, "Content-Type:");
  for (int i = 0; i < info->num_headers; i++)
    {
      const char *name = info->http_headers[i].name;
      const char *value = info->http_headers[i].value;

      if (is_hop_by_hop (name, strlen (name)) || is_cornelpick_header (name)
          || named_by_connection (connection, name, strlen (name)))
        continue;
      if (*value != '\0')
        append_header (&headers, name, "%s", value);
    }
  return headers;
}

/* Returns whether the header in LINE is forwarded to the caller.  */
static bool
is_end_to_end (const char *line, const char *connection)
{
  size_t length = strcspn (line, ":");

  return !is_hop_by_hop (line, length) && !is_cornelpick_header (line)
         && !named_by_connection (connection, line, length);
}

static bool
status_without_body (int status)
{
  return status == 204 || status == 304 || (status >= 100 && status < 200);
}

/* Appends the status line and the headers that are forwarded.  */
static void
compose_head (const struct answer *answer, const struct upstream_head *head,
              GString *text)
{
  char connection[256] = "";

  upstream_header_value (head, "Connection", connection, sizeof connection);
  g_string_append_printf (
      text, "HTTP/1.1 %d %s\r\n", head->status,
      mg_get_response_code_text (answer->request->connection, head->status));
  for (const struct curl_slist *line = head->headers; line != NULL;
       line = line->next)
    if (is_end_to_end (line->data, connection))
      g_string_append_printf (text, "%s\r\n", line->data);
  if (answer->chunked)
    g_string_append (text, "Transfer-Encoding: chunked\r\n");
  else if (head->length >= 0 && head->status != 204)
    g_string_append_printf (text, "Content-Length: %lld\r\n",
                            (long long)head->length);
}

bool
answer_head (struct answer *answer, const struct upstream_head *head,
             const char *extra_headers)
{
  struct mg_connection *connection = answer->request->connection;
  const char *method = answer->request->info->request_method;
  const char *version = answer->request->info->http_version;
  GString *text = g_string_sized_new (1024);
  int written;

  answer->status = head->status;
  answer->head_sent = true;
  answer->length = head->length;
  answer->without_body
      = strcmp (method, "HEAD") == 0 || status_without_body (head->status);
  answer->chunked = head->length < 0 && !answer->without_body
                    && strcmp (version, "1.1") == 0;
  if (head->length < 0 && !answer->without_body && !answer->chunked)
    mg_disable_connection_keep_alive (connection);
  compose_head (answer, head, text);
  g_string_append_printf (text, "%s%s\r\n",
                          request_connection_header (answer->request),
                          extra_headers);
  written = mg_write (connection, text->str, text->len);
  g_string_free (text, TRUE);
  return written > 0;
}

bool
answer_body (struct answer *answer, const char *data, size_t size)
{
  struct mg_connection *connection = answer->request->connection;

  if (answer->without_body || size == 0)
    return true;
  answer->sent += (int64_t)size;
  if (answer->chunked)
    return mg_send_chunk (connection, data, (unsigned)size) > 0;
  return mg_write (connection, data, size) == (int)size;
}

void
answer_end (struct answer *answer, bool complete)
{
  struct mg_connection *connection = answer->request->connection;

  if (!complete || !answer->request->body_ended)
    mg_disable_connection_keep_alive (connection);
  if (complete && answer->chunked)
    mg_send_chunk (connection, "", 0);
  if (complete)
    request_linger (answer->request);
  /* Without a length or chunks, closing the connection marks the end of the
     answer; a reset shows that it is incomplete.  */
  if (!complete && !answer->chunked && answer->length < 0
      && !answer->without_body)
    request_reset (answer->request);
}
