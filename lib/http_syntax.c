#include <glib.h>
#include <string.h>

#include "lib/http_syntax.h"

#define VERSION "HTTP/1."
#define STATUS_DIGITS 3

/* The classes of status codes are 1 to 5 (RFC 9110, section 15).  */
#define STATUS_MIN 100
#define STATUS_MAX 599

/* Returns whether BYTE may be part of a token (RFC 9110, section 5.6.2).  */
static bool
is_token_byte (char byte)
{
  return g_ascii_isalnum (byte)
         || (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

bool
cp_http_is_text_byte (char byte)
{
  unsigned char code = (unsigned char)byte;

  return code == '\t' || (code >= ' ' && code != 0x7f);
}

static enum cp_http_syntax_state
read_version (struct cp_http_syntax *syntax, char byte)
{
  if (byte != VERSION[syntax->n_read])
    return CP_HTTP_INVALID;
  syntax->n_read++;
  return syntax->n_read < strlen (VERSION) ? CP_HTTP_VERSION
                                           : CP_HTTP_MINOR_VERSION;
}

static enum cp_http_syntax_state
read_status (struct cp_http_syntax *syntax, char byte)
{
  if (!g_ascii_isdigit (byte))
    return CP_HTTP_INVALID;
  syntax->status = 10 * syntax->status + (unsigned)(byte - '0');
  syntax->n_read++;
  if (syntax->n_read < STATUS_DIGITS)
    return CP_HTTP_STATUS;
  return syntax->status >= STATUS_MIN && syntax->status <= STATUS_MAX
             ? CP_HTTP_REASON_SPACE
             : CP_HTTP_INVALID;
}

static enum cp_http_syntax_state
begin_status (struct cp_http_syntax *syntax, char byte)
{
  syntax->n_read = 0;
  return byte == ' ' ? CP_HTTP_STATUS : CP_HTTP_INVALID;
}

/* Returns the state after BYTE in text that ends with its line.  */
static enum cp_http_syntax_state
read_text (enum cp_http_syntax_state state, char byte)
{
  if (byte == '\r')
    return CP_HTTP_LINE_END;
  return cp_http_is_text_byte (byte) ? state : CP_HTTP_INVALID;
}

/* Returns the state after BYTE at the start of a line.  White space there
   would continue the line before, which is obsolete.  */
static enum cp_http_syntax_state
begin_field (char byte)
{
  if (byte == '\r')
    return CP_HTTP_LAST_END;
  return is_token_byte (byte) ? CP_HTTP_FIELD_NAME : CP_HTTP_INVALID;
}

static enum cp_http_syntax_state
read_name (char byte)
{
  if (byte == ':')
    return CP_HTTP_FIELD_VALUE;
  return is_token_byte (byte) ? CP_HTTP_FIELD_NAME : CP_HTTP_INVALID;
}

static enum cp_http_syntax_state
read_byte (struct cp_http_syntax *syntax, char byte)
{
  switch (syntax->state)
    {
    case CP_HTTP_VERSION:
      return read_version (syntax, byte);
    case CP_HTTP_MINOR_VERSION:
      syntax->minor_version = (unsigned)(byte - '0');
      return g_ascii_isdigit (byte) ? CP_HTTP_STATUS_SPACE : CP_HTTP_INVALID;
    case CP_HTTP_STATUS_SPACE:
      return begin_status (syntax, byte);
    case CP_HTTP_STATUS:
      return read_status (syntax, byte);
    case CP_HTTP_REASON_SPACE:
      return byte == ' ' ? CP_HTTP_REASON : CP_HTTP_INVALID;
    case CP_HTTP_REASON:
    case CP_HTTP_FIELD_VALUE:
      return read_text (syntax->state, byte);
    case CP_HTTP_FIELD_START:
      return begin_field (byte);
    case CP_HTTP_FIELD_NAME:
      return read_name (byte);
    case CP_HTTP_LINE_END:
      return byte == '\n' ? CP_HTTP_FIELD_START : CP_HTTP_INVALID;
    case CP_HTTP_LAST_END:
      return byte == '\n' ? CP_HTTP_END : CP_HTTP_INVALID;
    default:
      return CP_HTTP_INVALID;
    }
}

void
cp_http_syntax_init (struct cp_http_syntax *syntax)
{
  *syntax = (struct cp_http_syntax){ .state = CP_HTTP_VERSION };
}

void
cp_http_syntax_init_trailer (struct cp_http_syntax *syntax)
{
  *syntax = (struct cp_http_syntax){ .state = CP_HTTP_FIELD_START };
}

size_t
cp_http_syntax_feed (struct cp_http_syntax *syntax, const char *data,
                     size_t length)
{
  size_t n = 0;

  while (n < length && syntax->state != CP_HTTP_END
         && syntax->state != CP_HTTP_INVALID)
    syntax->state = read_byte (syntax, data[n++]);
  return n;
}
