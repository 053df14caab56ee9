/* Reads the heads of answers.  libcurl passes on much that HTTP/1.1 does not
   allow, so each line is checked first.  */
#include <string.h>
#include <strings.h>

#include "http/internal.h"
#include "lib/cleanup.h"

static void
begin_head (struct transfer *transfer)
{
  cp_http_syntax_init (&transfer->syntax);
  curl_slist_free_all (transfer->head.headers);
  transfer->head = (struct upstream_head){ .length = -1 };
}

void
upstream_head_init (struct transfer *transfer)
{
  transfer->head.headers = NULL;
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

static bool
take_field (struct transfer *transfer, const char *line, size_t length)
{
  CP_AUTO_FREE char *text = strndup (line, length - strlen ("\r\n"));

  if (text == NULL)
    return false;
  if (strncasecmp (text, "Content-Length:", 15) == 0)
    transfer->head.length = strtoll (text + 15, NULL, 10);
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
