#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/log.h"

#define LINE_BYTES 512
#define RING_LINES 1024

static const char *const level_names[]
    = { "debug", "info", "warning", "error" };

static const char *const part_names[CP_PART_COUNT]
    = { "daemon",  "outbound", "inbound", "configuration", "members",
        "measure", "rpc",      "admin",   "http",          "fakes" };

struct line
{
  enum cp_log_level level;
  enum cp_log_part part;
  struct timespec time;
  char text[LINE_BYTES];
};

/* Lines of a component in the current second.  */
struct part_rate
{
  uint64_t second;
  unsigned written;
  unsigned suppressed;
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t added;
  pthread_t writer;
  bool running;
  enum cp_log_level level;
  enum cp_log_format format;
  int fd;
  struct line ring[RING_LINES];
  unsigned first;
  unsigned count;
  uint64_t dropped;
  struct part_rate rates[CP_PART_COUNT];
} logger = { .lock = PTHREAD_MUTEX_INITIALIZER,
             .added = PTHREAD_COND_INITIALIZER,
             .level = CP_LOG_INFO,
             .fd = STDERR_FILENO };

static void
write_all (int fd, const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t written = write (fd, text, length);

      if (written <= 0)
        return;
      text += written;
      length -= (size_t)written;
    }
}

static void
write_json (const struct line *line, const char *timestamp)
{
  CP_AUTO_JSON json_t *object
      = json_pack ("{s:s, s:s, s:s, s:s}", "time", timestamp, "level",
                   level_names[line->level], "part", part_names[line->part],
                   "message", line->text);
  CP_AUTO_FREE char *text = NULL;

  if (object != NULL)
    text = json_dumps (object, JSON_COMPACT);
  if (text == NULL)
    return;
  write_all (logger.fd, text, strlen (text));
  write_all (logger.fd, "\n", 1);
}

static void
write_line (const struct line *line)
{
  char timestamp[40];
  char text[LINE_BYTES + 128];
  struct tm parts;
  int length;

  gmtime_r (&line->time.tv_sec, &parts);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf (timestamp + strlen (timestamp),
            sizeof timestamp - strlen (timestamp), ".%03ldZ",
            line->time.tv_nsec / 1000000);
  if (logger.format == CP_LOG_JSON)
    {
      write_json (line, timestamp);
      return;
    }
  length = snprintf (text, sizeof text, "%s %s %s: %s\n", timestamp,
                     level_names[line->level], part_names[line->part],
                     line->text);
  write_all (logger.fd, text, (size_t)length);
}

static void *
run_writer (void *unused)
{
  (void)unused;
  pthread_mutex_lock (&logger.lock);
  while (logger.running || logger.count > 0)
    {
      struct line line;

      if (logger.count == 0)
        {
          pthread_cond_wait (&logger.added, &logger.lock);
          continue;
        }
      line = logger.ring[logger.first];
      logger.first = (logger.first + 1) % RING_LINES;
      logger.count--;
      pthread_mutex_unlock (&logger.lock);
      write_line (&line);
      pthread_mutex_lock (&logger.lock);
    }
  pthread_mutex_unlock (&logger.lock);
  return NULL;
}

int
cp_log_start (enum cp_log_level level, enum cp_log_format format, int fd)
{
  cp_log_set_level (level);
  logger.format = format;
  logger.fd = fd;
  logger.running = true;
  if (pthread_create (&logger.writer, NULL, run_writer, NULL) == 0)
    return 0;
  logger.running = false;
  return -1;
}

void
cp_log_stop (void)
{
  pthread_mutex_lock (&logger.lock);
  if (!logger.running)
    {
      pthread_mutex_unlock (&logger.lock);
      return;
    }
  logger.running = false;
  pthread_cond_signal (&logger.added);
  pthread_mutex_unlock (&logger.lock);
  pthread_join (logger.writer, NULL);
}

void
cp_log_set_level (enum cp_log_level level)
{
  __atomic_store_n (&logger.level, level, __ATOMIC_RELAXED);
}

bool
cp_log_level_parse (const char *name, enum cp_log_level *level)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (level_names); i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *level = (enum cp_log_level)i;
        return true;
      }
  return false;
}

bool
cp_log_format_parse (const char *name, enum cp_log_format *format)
{
  if (strcmp (name, "text") == 0)
    *format = CP_LOG_TEXT;
  else if (strcmp (name, "json") == 0)
    *format = CP_LOG_JSON;
  else
    return false;
  return true;
}

/* Appends one line to the ring or counts it as dropped; the lock is held.  */
static void
queue_line (enum cp_log_level level, enum cp_log_part part, const char *text)
{
  struct line *line;

  if (logger.count == RING_LINES)
    {
      logger.dropped++;
      return;
    }
  line = &logger.ring[(logger.first + logger.count) % RING_LINES];
  logger.count++;
  line->level = level;
  line->part = part;
  clock_gettime (CLOCK_REALTIME, &line->time);
  snprintf (line->text, sizeof line->text, "%s", text);
  pthread_cond_signal (&logger.added);
}

/* Counts a line against the rate limit of PART.  Returns whether it may be
   written.  */
static bool
admit_line (enum cp_log_part part)
{
  struct part_rate *rate = &logger.rates[part];
  uint64_t second = cp_clock_now_us (&cp_clock_boot) / CP_US_PER_S;

  if (rate->second != second)
    {
      char text[64];

      snprintf (text, sizeof text, "%u lines suppressed by the rate limit.",
                rate->suppressed);
      if (rate->suppressed > 0)
        queue_line (CP_LOG_WARNING, part, text);
      *rate = (struct part_rate){ .second = second };
    }
  if (rate->written < CP_LOG_LINES_PER_S)
    {
      rate->written++;
      return true;
    }
  rate->suppressed++;
  return false;
}

void
cp_log (enum cp_log_level level, enum cp_log_part part, const char *format,
        ...)
{
  char text[LINE_BYTES];
  va_list arguments;

  if (level < __atomic_load_n (&logger.level, __ATOMIC_RELAXED))
    return;
  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  CP_LOCK_SCOPE (&logger.lock);
  if (admit_line (part))
    queue_line (level, part, text);
}

uint64_t
cp_log_dropped (void)
{
  CP_LOCK_SCOPE (&logger.lock);
  return logger.dropped;
}
