/* What a test sets at the stand-ins of servers, and reads of them.  */
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_internal.h"

static void
want (struct stage *stage, unsigned vm, bool wanted)
{
  pthread_mutex_lock (&stage->lock);
  stage->servers[vm]->wanted = wanted;
  stage->servers[vm]->stopped = false;
  pthread_mutex_unlock (&stage->lock);
  uv_async_send (&stage->wake);
}

void
stage_server_slow (struct stage *stage, unsigned vm, unsigned percent)
{
  pthread_mutex_lock (&stage->lock);
  stage->servers[vm]->slowness_percent = percent;
  pthread_mutex_unlock (&stage->lock);
}

void
stage_server_say (struct stage *stage, unsigned vm, const char *notice)
{
  pthread_mutex_lock (&stage->lock);
  g_strlcpy (stage->servers[vm]->notice, notice,
             sizeof stage->servers[vm]->notice);
  pthread_mutex_unlock (&stage->lock);
}

static void
set_script (struct stage *stage, GByteArray *script, const char *answer,
            size_t length)
{
  pthread_mutex_lock (&stage->lock);
  g_byte_array_set_size (script, 0);
  g_byte_array_append (script, (const guint8 *)answer, (guint)length);
  pthread_mutex_unlock (&stage->lock);
}

void
stage_server_script (struct stage *stage, unsigned vm, const char *answer,
                     size_t length)
{
  set_script (stage, stage->servers[vm]->script, answer, length);
}

void
stage_server_script_health (struct stage *stage, unsigned vm,
                            const char *answer, size_t length)
{
  set_script (stage, stage->servers[vm]->health, answer, length);
}

void
stage_server_cold (struct stage *stage, unsigned vm, unsigned ms)
{
  gint64 until_us = g_get_monotonic_time () + (gint64)ms * 1000;

  pthread_mutex_lock (&stage->lock);
  stage->servers[vm]->cold_until_us = ms == 0 ? 0 : until_us;
  pthread_mutex_unlock (&stage->lock);
}

unsigned
stage_server_most_in_a_second (struct stage *stage, unsigned vm,
                               gint64 since_us)
{
  const GArray *starts;
  unsigned most = 0;
  guint first = 0;

  pthread_mutex_lock (&stage->lock);
  starts = stage->servers[vm]->starts;
  for (guint i = 0; i < starts->len; i++)
    {
      gint64 at_us = g_array_index (starts, gint64, i);

      while (g_array_index (starts, gint64, first) < since_us
             || at_us - g_array_index (starts, gint64, first)
                    >= G_USEC_PER_SEC)
        if (++first > i)
          break;
      most = MAX (most, i + 1 - first);
    }
  pthread_mutex_unlock (&stage->lock);
  return most;
}

void
stage_server_mute_health (struct stage *stage, unsigned vm)
{
  pthread_mutex_lock (&stage->lock);
  stage->servers[vm]->mute_health = true;
  pthread_mutex_unlock (&stage->lock);
}

void
stage_server_stop (struct stage *stage, unsigned vm)
{
  bool stopped = false;

  want (stage, vm, false);
  while (!stopped)
    {
      g_usleep (1000);
      pthread_mutex_lock (&stage->lock);
      stopped = stage->servers[vm]->stopped;
      pthread_mutex_unlock (&stage->lock);
    }
}

void
stage_server_relisten (struct stage *stage, unsigned vm)
{
  want (stage, vm, true);
}

void
stage_server_restart (struct stage *stage, unsigned vm)
{
  pthread_mutex_lock (&stage->lock);
  stage_server_set_instance (stage->servers[vm]);
  pthread_mutex_unlock (&stage->lock);
  want (stage, vm, true);
}

unsigned
stage_runs (struct stage *stage, const char *id)
{
  unsigned count;

  pthread_mutex_lock (&stage->lock);
  count = GPOINTER_TO_UINT (g_hash_table_lookup (stage->runs, id));
  pthread_mutex_unlock (&stage->lock);
  return count;
}

unsigned
stage_server_runs (struct stage *stage, unsigned vm)
{
  unsigned count;

  pthread_mutex_lock (&stage->lock);
  count = stage->servers[vm]->runs;
  pthread_mutex_unlock (&stage->lock);
  return count;
}

unsigned
stage_server_misdirected (struct stage *stage, unsigned vm)
{
  unsigned count;

  pthread_mutex_lock (&stage->lock);
  count = stage->servers[vm]->misdirected;
  pthread_mutex_unlock (&stage->lock);
  return count;
}

unsigned
stage_server_crashes (struct stage *stage, unsigned vm)
{
  unsigned count;

  pthread_mutex_lock (&stage->lock);
  count = stage->servers[vm]->crashes;
  pthread_mutex_unlock (&stage->lock);
  return count;
}

unsigned
stage_server_left (struct stage *stage, unsigned vm)
{
  unsigned count;

  pthread_mutex_lock (&stage->lock);
  count = stage->servers[vm]->left;
  pthread_mutex_unlock (&stage->lock);
  return count;
}

void
stage_server_header (struct stage *stage, unsigned vm, const char *name,
                     char *value, size_t size)
{
  CP_AUTO_FREE char *key = g_strdup_printf ("%s: ", name);
  const char *at;

  pthread_mutex_lock (&stage->lock);
  at = strstr (stage->servers[vm]->headers->str, key);
  value[0] = '\0';
  if (at != NULL)
    {
      at += strlen (key);
      g_strlcpy (value, at, MIN (size, strcspn (at, "\n") + 1));
    }
  pthread_mutex_unlock (&stage->lock);
}
