#include <stddef.h>

#include "regress/harness/broken_answers.h"

#define FIELDS                                                                \
  "X-Cornelpick-Request-Id: @\r\nX-Cornelpick-Response-Signature: test\r\n"
#define WHOLE "Content-Length: 5\r\n\r\nwhole"
#define STATUS_LINE(line)                                                     \
  {                                                                           \
    line FIELDS WHOLE, sizeof (line FIELDS WHOLE) - 1                         \
  }

#define CHUNKS "5\r\nwhole\r\n0\r\n\r\n"
#define CODED(version, lines, body)                                           \
  {                                                                           \
    version " 200 OK\r\n" FIELDS lines "\r\n" body,                           \
        sizeof (version " 200 OK\r\n" FIELDS lines "\r\n" body) - 1           \
  }
#define FIELD(line) STATUS_LINE ("HTTP/1.1 200 OK\r\n" line)

const struct script good_answers[] = {
  STATUS_LINE ("HTTP/1.1 200 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 200 \r\n"),
  STATUS_LINE ("HTTP/1.1 200 \t\xfc\r\n"),
  STATUS_LINE ("HTTP/1.0 200 OK\r\n"),
  FIELD ("x-note:\r\nX-NOTE: \t a \xfc\t\r\n!#$%&'*+-.^_`|~:b\r\n"),
  STATUS_LINE ("HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\n"
               "HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\n"),
  CODED ("HTTP/1.1", "", "whole"),
  CODED ("HTTP/1.1", "transfer-encoding: \tChunked \r\n", CHUNKS),
  { NULL, 0 },
};

const struct script broken_status_lines[] = {
  STATUS_LINE ("HTTP/1.1 000 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 099 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 600 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 999 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 20 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 2 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 200\r\n"),
  STATUS_LINE ("HTTP/1.1  200 OK\r\n"),
  STATUS_LINE ("HTTP/0.9 200 OK\r\n"),
  STATUS_LINE ("HTTP/2.0 200 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 200 O\001K\r\n"),
  STATUS_LINE ("HTTP/1.1 200 O\0K\r\n"),
  STATUS_LINE ("HTTP/1.1 200 O\rK\r\n"),
  STATUS_LINE ("HTTP/1.1 200 OK\rX"),
  STATUS_LINE ("HTTP/1.1 200 OK\n"),
  STATUS_LINE ("\r\nHTTP/1.1 200 OK\r\n"),
  { NULL, 0 },
};

#define SWITCH "HTTP/1.1 101 Switching Protocols\r\n"

/* What follows a 101 belongs to another protocol.  */
const struct script switches[] = {
  STATUS_LINE (SWITCH "\r\nHTTP/1.1 200 OK\r\n"),
  STATUS_LINE (SWITCH "Connection: upgrade\r\nUpgrade: other\r\n\r\n"
                      "HTTP/1.1 200 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 103 Early Hints\r\n\r\n" SWITCH "\r\n"
               "HTTP/1.1 200 OK\r\n"),
  STATUS_LINE (SWITCH),
  { NULL, 0 },
};

const struct script broken_fields[] = {
  FIELD ("X Note: a\r\n"),
  FIELD ("X\tNote: a\r\n"),
  FIELD ("X-Note : a\r\n"),
  FIELD (" X-Note: a\r\n"),
  FIELD ("X\001Note: a\r\n"),
  FIELD ("X\0Note: a\r\n"),
  FIELD ("X\177Note: a\r\n"),
  FIELD ("X\377Note: a\r\n"),
  FIELD (": a\r\n"),
  FIELD ("X-Note\r\n"),
  FIELD ("X-Note: \001a\r\n"),
  FIELD ("X-Note: a\001\r\n"),
  FIELD ("X-Note: \0a\r\n"),
  FIELD ("X-Note: a\0\r\n"),
  FIELD ("X-Note: \177a\r\n"),
  FIELD ("X-Note: a\rb\r\n"),
  FIELD ("X-Note:\rContent-Length: 3\r\n"),
  FIELD ("X-Note: a\n"),
  FIELD ("X-Note: a\r\n b\r\n"),
  FIELD ("X-Note:\r\n\tb\r\n"),
  { NULL, 0 },
};

#define WITHOUT_BODY(status, lines)                                           \
  {                                                                           \
    "HTTP/1.1 " status " Empty\r\n" FIELDS lines "\r\n",                      \
        sizeof ("HTTP/1.1 " status " Empty\r\n" FIELDS lines "\r\n") - 1      \
  }

const struct script encoded[] = {
  FIELD ("Content-Encoding: gzip\r\n"),
  FIELD ("Content-Encoding: identity, gzip\r\n"),
  FIELD ("Content-Encoding: gzip\r\nContent-Encoding: identity\r\n"),
  FIELD ("Content-Encoding: identity\r\nContent-Encoding: gzip\r\n"),
  { NULL, 0 },
};

/* A length in a 304 is that of the body that a 200 would have.  */
const struct script without_body[] = {
  WITHOUT_BODY ("304", "Content-Length: 5\r\n"),
  WITHOUT_BODY ("304", "Transfer-Encoding: chunked\r\n"),
  WITHOUT_BODY ("304", "Content-Length: 99999999999\r\n"),
  WITHOUT_BODY ("204", "Content-Length: 5\r\n"),
  WITHOUT_BODY ("204", ""),
  { NULL, 0 },
};

#define CODING "Transfer-Encoding: "

#define CHUNKED(body) CODED ("HTTP/1.1", CODING "chunked\r\n", body)

const struct script good_chunks[] = {
  CHUNKED ("05\r\nwhole\r\n000\r\n\r\n"),
  CHUNKED ("2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"),
  CHUNKED ("5;a=b;c=\"d e\" ;\tf\r\nwhole\r\n0;g\r\n\r\n"),
  CHUNKED ("5 \t;a\r\nwhole\r\n0\r\nX-Note: a\r\nx-note:\r\n\r\n"),
  { NULL, 0 },
};

const struct script broken_chunks[] = {
  CHUNKED ("5\r\nwholeXX0\r\n\r\n"),
  CHUNKED ("5\r\nwhole\rX0\r\n\r\n"),
  CHUNKED ("5\rXwhole\r\n0\r\n\r\n"),
  CHUNKED ("0x5\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("-5\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("10000000000000005\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\n\rX"),
  CHUNKED ("5\r\nwhole\r\n0\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\nX Note: a\r\n\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\nX-Note: \001\r\n\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\nX-Note\r\n\r\n"),
  { NULL, 0 },
};

#define LENGTH "Content-Length: "

const struct script broken_lengths[] = {
  CODED ("HTTP/1.1", LENGTH "+5\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "-5\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "0x5\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "5.0\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "five\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "5 5\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "5, 3\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "3\r\n" LENGTH "5\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "5\r\n" LENGTH "3\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "18446744073709551621\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "18446744073709551615\r\n", "whole"),
  CODED ("HTTP/1.1", LENGTH "3\r\n" CODING "chunked\r\n", CHUNKS),
  { NULL, 0 },
};

const struct script broken_chunk_lines[] = {
  CHUNKED ("5\r\nwhole\n0\r\n\r\n"),
  CHUNKED ("5\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5 5\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5 \r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5;a\001\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5;a\0\r\nwhole\r\n0\r\n\r\n"),
  { NULL, 0 },
};

const struct script unknown_codings[] = {
  CODED ("HTTP/1.1", CODING "gzip\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "identity\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "xchunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "gzip, chunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked, gzip\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked, chunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked;q=1\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "gzip\r\n" CODING "chunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked\r\n" CODING "gzip\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "gzip\r\nContent-Length: 5\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "chunked\r\nContent-Length: 5\r\n", CHUNKS),
  CODED ("HTTP/1.0", CODING "chunked\r\n", CHUNKS),
  { NULL, 0 },
};
