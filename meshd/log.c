#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "meshd/log.h"

/* Rate limit of each kind.  A busy daemon on the users' sites handles about 60
   requests a second, and writing lines costs processor time.  */
#define KIND_LINES_PER_S 20

/* Rate limit of the kinds that report failures.  Above it the writer would use
   a tenth of the daemon's processor time.  */
#define FAILED_LINES_PER_S 200

#define BUFFER_BYTES (1U << 18)

/* Maximum bytes of one write: what a pipe takes atomically, so that lines of
   several processes are not mixed.  */
#define WRITE_BYTES 4096

/* How long lines are collected before a write, in ms, so that the writer
   seldom wakes up.  */
#define FLUSH_DELAY_MS 250

static const char *const kind_names[MESH_LOG_KINDS] = {
  [MESH_LOG_START] = "start",
  [MESH_LOG_STOP] = "stop",
  [MESH_LOG_RELOAD] = "reload",
  [MESH_LOG_STATE] = "state",
  [MESH_LOG_STALL] = "stall",
  [MESH_LOG_SHUTDOWN] = "shutdown",
  [MESH_LOG_STORE] = "store",
  [MESH_LOG_WATCH] = "watch",
  [MESH_LOG_ITEMS] = "items",
  [MESH_LOG_ERA] = "era",
  [MESH_LOG_TABLE] = "table",
  [MESH_LOG_SERVER] = "server",
  [MESH_LOG_UNREADABLE] = "unreadable",
  [MESH_LOG_EVACUATION] = "evacuation",
  [MESH_LOG_PEER] = "peer",
  [MESH_LOG_UNSENDABLE] = "unsendable",
  [MESH_LOG_LOAD] = "load",
  [MESH_LOG_RATE_LIMIT] = "rate_limit",
  [MESH_LOG_LEAVING] = "leaving",
  [MESH_LOG_REACHED] = "reached",
  [MESH_LOG_COLD] = "cold",
  [MESH_LOG_SERVER_ENDED] = "server_ended",
  [MESH_LOG_SUSPECT] = "suspect",
  [MESH_LOG_SEND] = "send",
  [MESH_LOG_AGAIN] = "again",
  [MESH_LOG_NO_RETRY] = "no_retry",
  [MESH_LOG_ANSWER] = "answer",
  [MESH_LOG_FAILED] = "failed",
  [MESH_LOG_ABANDONED] = "abandoned",
  [MESH_LOG_REFUSED] = "refused",
  [MESH_LOG_JOB_END] = "job_end",
  [MESH_LOG_JOB_FAILED] = "job_failed",
};

/* Kinds that are needed to explain a failure.  */
static const bool is_failure_kind[MESH_LOG_KINDS] = {
  [MESH_LOG_FAILED] = true,
  [MESH_LOG_JOB_FAILED] = true,
  [MESH_LOG_REFUSED] = true,
  [MESH_LOG_UNSENDABLE] = true,
};

struct kind_rate
{
  uint64_t second;
  unsigned lines;
  unsigned left_out;
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t added;
  pthread_t writer;
  bool running;
  bool stopping;
  char vm[128];
  GString *buffer;
  unsigned dropped;
  struct kind_rate rates[MESH_LOG_KINDS];
} logger = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Returns the number of bytes of TEXT to write next: whole lines, up to
   WRITE_BYTES.  */
static size_t
next_chunk (const char *text, size_t length)
{
  const char *end;

  if (length <= WRITE_BYTES)
    return length;
  end = memrchr (text, '\n', WRITE_BYTES);
  return end == NULL ? WRITE_BYTES : (size_t)(end - text) + 1;
}

static bool
is_stopping (void)
{
  bool stopping;

  pthread_mutex_lock (&logger.lock);
  stopping = logger.stopping;
  pthread_mutex_unlock (&logger.lock);
  return stopping;
}

/* Waits until the output accepts a write.  Returns false if the log is stopped
   first, since nobody reads the output then.  */
static bool
wait_for_output (void)
{
  struct pollfd output = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (poll (&output, 1, FLUSH_DELAY_MS) <= 0)
    if (is_stopping ())
      return false;
  return true;
}

static void
write_all (const char *text, size_t length)
{
  while (length > 0 && wait_for_output ())
    {
      ssize_t written = write (STDOUT_FILENO, text, next_chunk (text, length));

      if (written <= 0)
        return;
      text += written;
      length -= (size_t)written;
    }
}

/* Waits for the first line, then FLUSH_DELAY_MS for further ones.  The caller
   holds the lock.  */
static void
wait_for_lines (void)
{
  struct timespec until;

  while (logger.buffer->len == 0 && !logger.stopping)
    pthread_cond_wait (&logger.added, &logger.lock);
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_nsec += FLUSH_DELAY_MS * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_nsec -= 1000000000L;
      until.tv_sec++;
    }
  while (!logger.stopping
         && pthread_cond_timedwait (&logger.added, &logger.lock, &until) == 0)
    continue;
}

static void *
run_writer (void *context)
{
  GString *lines = g_string_sized_new (4096);
  bool stopping = false;

  (void)context;
  while (!stopping)
    {
      GString *taken;

      pthread_mutex_lock (&logger.lock);
      wait_for_lines ();
      stopping = logger.stopping;
      taken = logger.buffer;
      logger.buffer = lines;
      pthread_mutex_unlock (&logger.lock);
      write_all (taken->str, taken->len);
      g_string_truncate (taken, 0);
      lines = taken;
    }
  g_string_free (lines, TRUE);
  return NULL;
}

int
mesh_log_start (const char *vm)
{
  pthread_condattr_t attributes;

  g_strlcpy (logger.vm, vm, sizeof logger.vm);
  logger.buffer = g_string_sized_new (4096);
  logger.stopping = false;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&logger.added, &attributes);
  pthread_condattr_destroy (&attributes);
  logger.running
      = pthread_create (&logger.writer, NULL, run_writer, NULL) == 0;
  return logger.running ? 0 : -1;
}

void
mesh_log_stop (void)
{
  if (!logger.running)
    return;
  pthread_mutex_lock (&logger.lock);
  logger.stopping = true;
  pthread_cond_signal (&logger.added);
  pthread_mutex_unlock (&logger.lock);
  pthread_join (logger.writer, NULL);
  g_string_free (logger.buffer, TRUE);
  logger.running = false;
}

/* Resets RATE at the start of a new second.  Returns the number of lines that
   were suppressed in the previous one.  */
static unsigned
start_second (struct kind_rate *rate, uint64_t second)
{
  unsigned left_out = rate->left_out;

  if (rate->second == second)
    return 0;
  *rate = (struct kind_rate){ .second = second };
  return left_out;
}

static void
add_line (enum mesh_log_kind kind, const char *members)
{
  bool was_empty;
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  pthread_mutex_lock (&logger.lock);
  was_empty = logger.buffer->len == 0;
  if (logger.buffer->len > BUFFER_BYTES)
    logger.dropped++;
  else
    {
      if (logger.dropped > 0)
        g_string_append_printf (logger.buffer,
                                "{\"kind\":\"dropped\",\"vm\":\"%s\","
                                "\"lines\":%u}\n",
                                logger.vm, logger.dropped);
      logger.dropped = 0;
      g_string_append_printf (
          logger.buffer,
          "{\"t\":%lld.%06ld,\"vm\":\"%s\",\"kind\":\"%s\",%s}\n",
          (long long)now.tv_sec, now.tv_nsec / 1000, logger.vm,
          kind_names[kind], members);
    }
  if (was_empty)
    pthread_cond_signal (&logger.added);
  pthread_mutex_unlock (&logger.lock);
}

bool
mesh_log_allowed (enum mesh_log_kind kind)
{
  struct kind_rate *rate = &logger.rates[kind];
  uint64_t second = cp_clock_now_us (&cp_clock_boot) / CP_US_PER_S;
  unsigned max_lines
      = is_failure_kind[kind] ? FAILED_LINES_PER_S : KIND_LINES_PER_S;
  unsigned left_out = start_second (rate, second);
  char members[64];

  if (!logger.running)
    return false;
  if (left_out > 0)
    {
      g_snprintf (members, sizeof members, "\"left_out\":%u", left_out);
      add_line (kind, members);
    }
  if (rate->lines >= max_lines)
    {
      rate->left_out++;
      return false;
    }
  rate->lines++;
  return true;
}

void
mesh_log (enum mesh_log_kind kind, const char *format, ...)
{
  CP_AUTO_FREE char *members = NULL;
  va_list arguments;

  if (!logger.running)
    return;
  va_start (arguments, format);
  members = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  add_line (kind, members);
}

const char *
mesh_log_sanitize (const char *text, char *buffer, size_t size)
{
  size_t used = 0;

  for (; text != NULL && *text != '\0' && used + 1 < size; text++)
    buffer[used++] = (unsigned char)*text < 0x20 || *text == '"'
                             || *text == '\\' || (unsigned char)*text >= 0x7f
                         ? '?'
                         : *text;
  buffer[used] = '\0';
  return buffer;
}
