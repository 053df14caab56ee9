/* The stand-in of the platform's store.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "review/rig_internal.h"

#define ITEMS_MAX 32
#define VALUE_BYTES 8192
#define BODY_BYTES (ITEMS_MAX * VALUE_BYTES * 2)

struct item
{
  char key[128];
  char value[VALUE_BYTES];
  uint64_t revision;
  unsigned vm; /* whose server the entry is of, or 0 */
};

/* A connection to the door of VIEWER.  */
struct guest
{
  unsigned viewer;
  int fd;
};

static struct item items[ITEMS_MAX];
static unsigned n_items;
static uint64_t revision = 100;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

void
rig_store_put (const char *key, const char *value, unsigned vm)
{
  unsigned i = 0;

  pthread_mutex_lock (&lock);
  while (i < n_items && strcmp (items[i].key, key) != 0)
    i++;
  rig_require (i < ITEMS_MAX && strlen (value) < VALUE_BYTES,
               "the stand-in of the store is full");
  if (i == n_items)
    n_items++;
  snprintf (items[i].key, sizeof items[i].key, "%s", key);
  snprintf (items[i].value, sizeof items[i].value, "%s", value);
  items[i].vm = vm;
  items[i].revision = ++revision;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static char *
append_base64 (char *to, const char *value)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t length = strlen (value);

  for (size_t i = 0; i < length; i += 3)
    {
      size_t left = length - i;
      uint32_t bits = (uint32_t)(unsigned char)value[i] << 16;

      if (left > 1)
        bits |= (uint32_t)(unsigned char)value[i + 1] << 8;
      if (left > 2)
        bits |= (uint32_t)(unsigned char)value[i + 2];
      *to++ = digits[bits >> 18 & 63];
      *to++ = digits[bits >> 12 & 63];
      *to++ = left > 1 ? digits[bits >> 6 & 63] : '=';
      *to++ = left > 2 ? digits[bits & 63] : '=';
    }
  *to = '\0';
  return to;
}

/* Writes the value of ITEM to VALUE, as VIEWER is to see it.  */
static void
expand_value (const struct item *item, unsigned viewer,
              char value[VALUE_BYTES + 64])
{
  const char *at = item->vm == 0 ? NULL : strchr (item->value, '@');
  unsigned host = item->vm;
  char address[64];

  if (at == NULL)
    {
      snprintf (value, VALUE_BYTES + 64, "%s", item->value);
      return;
    }
  if (viewer != item->vm && rig_has_relays ())
    host = rig_relay_host (viewer, item->vm);
  snprintf (value, VALUE_BYTES + 64, "%.*s%s%s", (int)(at - item->value),
            item->value, rig_address (host, RIG_PORT_SERVER, address), at + 1);
}

/* Writes a JSON list of the items changed after AFTER whose keys begin with
   PREFIX.  Returns its end.  */
static char *
append_items (char *to, const char *prefix, uint64_t after, unsigned viewer)
{
  static char value[VALUE_BYTES + 64]; /* under the lock */
  const char *separator = "";

  to += sprintf (to, "[");
  for (unsigned i = 0; i < n_items; i++)
    {
      const struct item *item = &items[i];

      if (item->revision <= after
          || strncmp (item->key, prefix, strlen (prefix)) != 0)
        continue;
      to += sprintf (to, "%s{\"key\":\"%s\",\"value\":\"", separator,
                     item->key);
      expand_value (item, viewer, value);
      to = append_base64 (to, value);
      to += sprintf (to, "\",\"rev\":%llu,\"created\":%llu,\"lease\":0}",
                     (unsigned long long)item->revision,
                     (unsigned long long)item->revision);
      separator = ",";
    }
  return to + sprintf (to, "]");
}

/* Waits until there is a change after AFTER, for WAIT_MS at most.  */
static void
await_change (uint64_t after, size_t wait_ms)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += (time_t)(wait_ms / 1000);
  until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  while (revision <= after && !rig_is_stopping ()
         && pthread_cond_timedwait (&changed, &lock, &until) == 0)
    ;
}

static void
write_answer (const struct rig_head *head, char *body, unsigned viewer)
{
  uint64_t after = rig_parameter (head, "after");
  const char *at = strstr (head->text, "prefix=");
  char prefix[64] = "";
  bool watch = strstr (head->text, "/kv-watch") != NULL;

  if (at != NULL)
    {
      size_t length = strcspn (at + 7, "& ");

      snprintf (prefix, sizeof prefix, "%.*s", (int)length, at + 7);
    }
  pthread_mutex_lock (&lock);
  if (watch)
    await_change (after, rig_parameter (head, "waitMs"));
  body += sprintf (body, "{\"%s\":", watch ? "events" : "items");
  body = append_items (body, prefix, watch ? after : 0, viewer);
  if (!watch)
    body += sprintf (body, ",\"hasMore\":false");
  sprintf (body, ",\"at\":%llu}", (unsigned long long)revision);
  pthread_mutex_unlock (&lock);
}

static void *
serve (void *context)
{
  struct guest *guest = context;
  int fd = guest->fd;
  struct rig_head *head = rig_allocate (sizeof *head);
  char *body = rig_allocate (BODY_BYTES);

  while (rig_read_head (fd, head))
    {
      char line[128];

      write_answer (head, body, guest->viewer);
      snprintf (line, sizeof line,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n",
                strlen (body));
      if (!rig_write (fd, line, strlen (line))
          || !rig_write (fd, body, strlen (body)))
        break;
    }
  free (head);
  free (body);
  free (guest);
  close (fd);
  return NULL;
}

static void *
accept_all (void *context)
{
  const struct guest *door = context;

  while (!rig_is_stopping ())
    {
      int fd = accept4 (door->fd, NULL, NULL, SOCK_CLOEXEC);
      struct guest *guest;

      if (fd < 0)
        continue;
      guest = rig_allocate (sizeof *guest);
      *guest = (struct guest){ door->viewer, fd };
      rig_thread (serve, guest);
    }
  return NULL;
}

void
rig_store_start (unsigned viewer)
{
  static struct guest doors[RIG_VMS_MAX + 1];

  doors[viewer] = (struct guest){ viewer, rig_listen (rig_store_host (viewer),
                                                      RIG_PORT_STORE) };
  rig_require (doors[viewer].fd >= 0, "cannot listen for the store");
  rig_thread (accept_all, &doors[viewer]);
}
