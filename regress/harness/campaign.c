#include <check.h>
#include <stdio.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/campaign.h"

#define PORT_TARGET 8080

static enum told
told_by (const struct reply *reply)
{
  char outcome[16];

  if (reply->refused)
    return TOLD_REFUSED;
  if (reply->status == 0
      || !reply_header (reply, "Cornelpick-Outcome", outcome, sizeof outcome))
    return TOLD_NOTHING;
  if (strcmp (outcome, "ran") == 0)
    return TOLD_RAN;
  return strcmp (outcome, "not-run") == 0 ? TOLD_NOT_RUN : TOLD_UNKNOWN;
}

void
campaign_call (struct campaign *campaign, unsigned vm,
               struct campaign_call *call)
{
  struct reply reply;

  memset (call, 0, sizeof *call);
  reply_init (&reply);
  fleet_call (campaign->fleet, &reply, vm, campaign->method, campaign->path,
              campaign->headers, campaign->body);
  call->status = reply.status;
  call->told = told_by (&reply);
  if (call->told < TOLD_REFUSED)
    reply_header (&reply, "Cornelpick-Request", call->request,
                  sizeof call->request);
  if (call->told == TOLD_RAN
      && strstr (reply.body->str, "\"request\"") != NULL)
    call->mixed = strstr (reply.body->str, call->request) == NULL;
  call->cut = call->told == TOLD_RAN && call->status == 200
              && strstr (campaign->path, "bytes=") == NULL
              && strstr (reply.body->str, "\"request\"") == NULL;
  reply_finish (&reply);
}

static void *
make_calls (void *context)
{
  struct campaign_caller *caller = context;
  struct campaign *campaign = caller->campaign;
  unsigned n_vms = campaign->last_vm - campaign->first_vm + 1;

  for (unsigned i = 0; campaign->calls_each == 0 || i < campaign->calls_each;
       i++)
    {
      struct campaign_call call;

      if (__atomic_load_n (&campaign->stop, __ATOMIC_ACQUIRE))
        break;
      campaign_call (campaign, campaign->first_vm + (caller->vm + i) % n_vms,
                     &call);
      g_array_append_val (caller->calls, call);
    }
  return NULL;
}

void
campaign_start (struct campaign *campaign)
{
  for (unsigned i = 0; i < campaign->n_callers; i++)
    {
      struct campaign_caller *caller = &campaign->callers[i];

      caller->campaign = campaign;
      caller->vm = i;
      caller->calls
          = g_array_new (FALSE, FALSE, sizeof (struct campaign_call));
      ck_assert_int_eq (
          pthread_create (&caller->thread, NULL, make_calls, caller), 0);
    }
}

/* Adds the journal of one target: request ID to number of runs.  */
static void
add_journal (const struct fleet *fleet, unsigned vm, const char *method,
             GHashTable *runs)
{
  struct reply reply;
  char address[56];
  gchar **lines;

  reply_init (&reply);
  http_call (&reply, fleet_address (fleet, vm, PORT_TARGET, address), "GET",
             "/fake/journal", NULL, NULL, 30000);
  ck_assert_int_eq (reply.status, 200);
  lines = g_strsplit (reply.body->str, "\n", -1);
  for (gchar **line = lines; *line != NULL; line++)
    {
      gchar *id = g_strndup (*line, strcspn (*line, " "));
      guint count;

      if (*id == '\0' || strstr (*line, method) == NULL)
        {
          g_free (id);
          continue;
        }
      count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, id));
      g_hash_table_insert (runs, id, GUINT_TO_POINTER (count + 1));
    }
  g_strfreev (lines);
  reply_finish (&reply);
}

static void
compare (const struct campaign_call *call, GHashTable *runs,
         struct campaign_totals *totals)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (runs, call->request));

  totals->calls++;
  totals->told[call->told]++;
  if (call->told == TOLD_NOT_RUN && count > 0)
    totals->false_not_run++;
  if (call->told == TOLD_RAN && call->status == 200 && count == 0)
    totals->false_ran++;
  if (call->mixed)
    totals->mixed++;
  if (call->cut)
    totals->cut++;
}

void
campaign_end (struct campaign *campaign, struct campaign_totals *totals)
{
  GHashTable *runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iterator;
  gpointer value;

  memset (totals, 0, sizeof *totals);
  for (unsigned i = 0; i < campaign->n_callers; i++)
    pthread_join (campaign->callers[i].thread, NULL);
  for (unsigned vm = 1; vm <= campaign->fleet->n_vms; vm++)
    if (campaign->fleet->targets[vm].pid != 0)
      add_journal (campaign->fleet, vm, campaign->method, runs);
  g_hash_table_iter_init (&iterator, runs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      totals->runs += GPOINTER_TO_UINT (value);
      totals->duplicates += GPOINTER_TO_UINT (value) - 1;
    }
  for (unsigned i = 0; i < campaign->n_callers; i++)
    {
      GArray *calls = campaign->callers[i].calls;

      for (guint k = 0; k < calls->len; k++)
        compare (&g_array_index (calls, struct campaign_call, k), runs,
                 totals);
      g_array_free (calls, TRUE);
    }
  g_hash_table_destroy (runs);
}

/* Returns how many runs beyond the first the daemons' own decisions explain: a
   hedge or a retry of an idempotent call may run it again, an order never.  */
static uint64_t
duplicates_allowed (const struct campaign *campaign)
{
  uint64_t allowed = 0;

  if (strcmp (campaign->method, "GET") != 0)
    return 0;
  for (unsigned vm = 1; vm <= campaign->fleet->n_vms; vm++)
    if (campaign->fleet->daemons[vm].pid != 0)
      allowed += fleet_counter (campaign->fleet, vm, "hedges_total")
                 + fleet_counter (campaign->fleet, vm, "retries_total");
  return allowed;
}

void
campaign_check (struct campaign *campaign, struct campaign_totals *totals)
{
  campaign_end (campaign, totals);
  printf (
      "calls %u, ran %u, not run %u, unknown %u, refused %u, no answer %u, "
      "runs %u\n",
      totals->calls, totals->told[TOLD_RAN], totals->told[TOLD_NOT_RUN],
      totals->told[TOLD_UNKNOWN], totals->told[TOLD_REFUSED],
      totals->told[TOLD_NOTHING], totals->runs);
  ck_assert_uint_eq (totals->false_not_run, 0);
  ck_assert_uint_le (totals->duplicates, duplicates_allowed (campaign));
  ck_assert_uint_eq (totals->false_ran, 0);
  ck_assert_uint_eq (totals->mixed, 0);
  ck_assert_uint_eq (totals->cut, 0);
}

void
campaign_gate (json_t *document)
{
  json_t *sections = json_object_get (document, "sections");
  json_t *shop = json_object_get (sections, "shop");
  json_t *gate = json_deep_copy (shop);
  json_t *targets = json_object_get (shop, "targets");
  json_t *own = json_object ();
  size_t i;
  json_t *route;

  json_object_set (own, "gate-1", json_object_get (targets, "shop-1"));
  json_object_set_new (gate, "targets", own);
  json_array_foreach (json_object_get (gate, "routes"), i, route)
      json_object_set_new (route, "host", json_string ("gate.example"));
  json_object_set_new (sections, "gate", gate);
  json_object_del (targets, "shop-1");
}
