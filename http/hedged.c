#include <stdlib.h>

#include "http/internal.h"

/* The two transfers share the multi handle of the first connection, so that
   one wait covers both.  The second one has a new connection, which is closed
   when its transfer ends: it must not outlive the race, whose memory its
   callbacks use.  */
struct race
{
  struct upstream_pool *pool;
  const struct upstream_hedge *hedge;
  struct upstream *upstream; /* of the first transfer */
  struct upstream second;
  struct transfer transfers[UPSTREAM_HEDGED];
  bool running[UPSTREAM_HEDGED];
  enum upstream_result *results;
  unsigned begun;
  bool decided_begin; /* the second was begun, or will never be */
  bool watch_caller;
};

static CURL *
easy_of (const struct race *race, unsigned index)
{
  return index == 0 ? race->upstream->easy : race->second.easy;
}

static void
begin (struct race *race, unsigned index, const struct upstream_call *call)
{
  struct transfer *transfer = &race->transfers[index];

  struct upstream *upstream = index == 0 ? race->upstream : &race->second;

  transfer->call = call;
  transfer->first_byte_us = call->first_byte_us;
  transfer->head.length = -1;
  race->running[index] = true;
  race->begun++;
  upstream_set_options (race->pool, upstream, transfer);
  if (index > 0)
    {
      curl_easy_setopt (upstream->easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (upstream->easy, CURLOPT_FORBID_REUSE, 1L);
    }
  curl_multi_add_handle (race->upstream->multi, upstream->easy);
}

/* Ends one transfer with RESULT.  */
static void
end (struct race *race, unsigned index, enum upstream_result result)
{
  if (!race->running[index])
    return;
  curl_multi_remove_handle (race->upstream->multi, easy_of (race, index));
  race->running[index] = false;
  if (result != UPSTREAM_COMPLETE && !race->transfers[index].sent)
    result = UPSTREAM_NOT_SENT;
  race->results[index] = result;
  race->hedge->ended (race->hedge->context);
}

/* Takes what libcurl has ended, and cancels the one that has lost.  */
static void
take_ends (struct race *race)
{
  CURLMsg *message;
  int left;
  int chosen;

  while ((message = curl_multi_info_read (race->upstream->multi, &left))
         != NULL)
    {
      unsigned index = message->easy_handle == easy_of (race, 0) ? 0 : 1;
      CURLcode code = message->data.result;

      if (message->msg == CURLMSG_DONE)
        end (race, index, upstream_classify (&race->transfers[index], code));
    }
  chosen = race->hedge->chosen (race->hedge->context);
  if (chosen >= 0)
    end (race, 1 - (unsigned)chosen, UPSTREAM_ABORTED);
}

/* Begins the second transfer when it is time; else brings *UNTIL_US forward to
   that time.  */
static void
consider_second (struct race *race, uint64_t now_us, uint64_t *until_us)
{
  const struct upstream_call *second;

  if (race->decided_begin || race->transfers[0].head.status != 0)
    return;
  if (now_us < race->hedge->start_us)
    {
      if (race->hedge->start_us < *until_us)
        *until_us = race->hedge->start_us;
      return;
    }
  race->decided_begin = true;
  second = race->hedge->begin (race->hedge->context);
  if (second == NULL)
    return;
  race->second.easy = curl_easy_init ();
  if (race->second.easy == NULL)
    abort ();
  begin (race, 1, second);
  *until_us = now_us;
}

static bool
is_running (const struct race *race)
{
  return race->running[0] || race->running[1];
}

static void
end_all (struct race *race, enum upstream_result result)
{
  for (unsigned i = 0; i < UPSTREAM_HEDGED; i++)
    end (race, i, result);
}

static void
wait_for_progress (struct race *race)
{
  int caller_fd = race->transfers[0].call->caller_fd;
  struct curl_waitfd fds[] = { { race->pool->cut_fd, CURL_WAIT_POLLIN, 0 },
                               { caller_fd, CURL_WAIT_POLLIN, 0 } };
  uint64_t now_us = cp_clock_now_us (race->pool->clock);
  uint64_t until_us = UINT64_MAX;
  bool watched
      = race->watch_caller && upstream_watches_caller (&race->transfers[0]);

  for (unsigned i = 0; i < UPSTREAM_HEDGED; i++)
    if (race->running[i])
      {
        enum upstream_result result
            = upstream_check_time (&race->transfers[i], now_us, &until_us);

        if (result != UPSTREAM_COMPLETE)
          end (race, i, result);
      }
  if (!is_running (race))
    return;
  consider_second (race, now_us, &until_us);
  curl_multi_poll (race->upstream->multi, fds, watched ? 2 : 1,
                   upstream_wait_ms (now_us, until_us), NULL);
  if (fds[0].revents != 0)
    end_all (race, UPSTREAM_STOPPED);
  if (!watched || fds[1].revents == 0)
    return;
  if (upstream_fd_at_end (caller_fd))
    end_all (race, UPSTREAM_CALLER_GONE);
  /* The caller has sent more; its end can not be seen from here on.  */
  race->watch_caller = false;
}

unsigned
upstream_perform_hedged (struct upstream_pool *pool,
                         const struct upstream_call *first,
                         const struct upstream_hedge *hedge,
                         enum upstream_result results[UPSTREAM_HEDGED])
{
  struct race race = { .pool = pool,
                       .hedge = hedge,
                       .upstream = upstream_take (pool, first),
                       .second.fd = -1,
                       .results = results,
                       .decided_begin = hedge->start_us == 0,
                       .watch_caller = true };
  int running;

  results[0] = UPSTREAM_NOT_SENT;
  results[1] = UPSTREAM_NOT_SENT;
  begin (&race, 0, first);
  for (;;)
    {
      curl_multi_perform (race.upstream->multi, &running);
      take_ends (&race);
      if (!is_running (&race))
        break;
      wait_for_progress (&race);
      if (!is_running (&race))
        break;
    }
  if (race.second.easy != NULL)
    curl_easy_cleanup (race.second.easy);
  upstream_give_back (pool, race.upstream, &race.transfers[0], results[0],
                      results[0] == UPSTREAM_COMPLETE);
  for (unsigned i = 0; i < UPSTREAM_HEDGED; i++)
    curl_slist_free_all (race.transfers[i].head.headers);
  return race.begun;
}
