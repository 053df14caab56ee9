/* Reads the heads of answers.  libcurl passes on much that HTTP/1.1 does not
   allow, so each line is checked first.  */
#include <string.h>
#include <strings.h>

#include "http/internal.h"
#include "lib/cleanup.h"

/* Limit of the heads of an answer and its interim answers and of the trailer
   section, together.  libcurl keeps them all in memory.  */
#define HEAD_BYTES_MAX 65536

/* A length of so many digits fits in 63 bits.  */
#define LENGTH_DIGITS_MAX 18

static void
begin_head (struct transfer *transfer)
{
  cp_http_syntax_init (&transfer->syntax);
  curl_slist_free_all (transfer->head.headers);
  transfer->head = (struct upstream_head){ .length = -1 };
  transfer->chunked = false;
}

void
upstream_head_init (struct transfer *transfer)
{
  transfer->head.headers = NULL;
  transfer->head_bytes = 0;
  begin_head (transfer);
}

/* Returns whether the whole head of the final answer has been read.  */
static bool
has_final_head (const struct transfer *transfer)
{
  return transfer->syntax.state == CP_HTTP_END
         && transfer->syntax.status >= 200;
}

/* Checks LINE, which must be complete.  */
static bool
check_line (struct transfer *transfer, const char *line, size_t length)
{
  struct cp_http_syntax *syntax = &transfer->syntax;

  return cp_http_syntax_feed (syntax, line, length) == length
         && (syntax->state == CP_HTTP_FIELD_START
             || syntax->state == CP_HTTP_END);
}

/* Takes the status line.  No request asks for another protocol, so what
   follows a 101 is no HTTP.  */
static bool
take_status (struct transfer *transfer)
{
  transfer->head.status = (int)transfer->syntax.status;
  return transfer->head.status != 101;
}

/* Returns the value of the field in LINE if it has NAME, else NULL.  */
static const char *
value_of (const char *line, const char *name)
{
  size_t length = strlen (name);

  if (strncasecmp (line, name, length) != 0 || line[length] != ':')
    return NULL;
  return line + length + 1 + strspn (line + length + 1, " \t");
}

/* Returns the length of VALUE without the white space at its end.  */
static size_t
trimmed_length (const char *value)
{
  size_t length = strlen (value);

  while (length > 0 && strchr (" \t", value[length - 1]) != NULL)
    length--;
  return length;
}

/* Takes the length from VALUE, which must be a number, given once.  */
static bool
take_length (struct transfer *transfer, const char *value)
{
  size_t length = trimmed_length (value);

  if (length == 0 || length > LENGTH_DIGITS_MAX
      || strspn (value, "0123456789") != length || transfer->head.length >= 0
      || transfer->chunked)
    return false;
  transfer->head.length = strtoll (value, NULL, 10);
  return true;
}

/* Takes the coding from VALUE, which must be chunked, alone: no request asks
   for another one.  Together with a length, the end of the body is not
   certain.  */
static bool
take_coding (struct transfer *transfer, const char *value)
{
  if (trimmed_length (value) != strlen ("chunked")
      || strncasecmp (value, "chunked", strlen ("chunked")) != 0
      || transfer->chunked || transfer->head.length >= 0
      || transfer->syntax.minor_version == 0)
    return false;
  transfer->chunked = true;
  return true;
}

/* Takes what the field in LINE says about the end of the body.  Returns false
   if that is not what HTTP/1.1 allows.  */
static bool
take_framing (struct transfer *transfer, const char *line)
{
  const char *length = value_of (line, "Content-Length");
  const char *coding = value_of (line, "Transfer-Encoding");

  if (length != NULL)
    return take_length (transfer, length);
  return coding == NULL || take_coding (transfer, coding);
}

static bool
take_field (struct transfer *transfer, const char *line, size_t length)
{
  CP_AUTO_FREE char *text = strndup (line, length - strlen ("\r\n"));

  if (text == NULL)
    return false;
  if (!take_framing (transfer, text))
    return false;
  if (*text != '\0')
    transfer->head.headers = curl_slist_append (transfer->head.headers, text);
  return true;
}

size_t
upstream_read_head_line (char *line, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;
  size_t length = size * count;
  bool is_first;

  transfer->head_bytes += length;
  if (transfer->head_bytes > HEAD_BYTES_MAX)
    return 0;
  if (transfer->in_trailer || has_final_head (transfer))
    {
      if (!transfer->in_trailer)
        cp_http_syntax_init_trailer (&transfer->syntax);
      transfer->in_trailer = true;
      return check_line (transfer, line, length) ? length : 0;
    }
  if (transfer->syntax.state == CP_HTTP_END)
    begin_head (transfer);
  is_first = transfer->syntax.state == CP_HTTP_VERSION;
  if (!check_line (transfer, line, length))
    return 0;
  if (!(is_first ? take_status (transfer)
                 : take_field (transfer, line, length)))
    return 0;
  return length;
}
