#include <stdlib.h>

#include "http/internal.h"

/* A call and its hedge.  Both transfers use the multi handle of the first
   connection, so that one poll waits for both.  The second transfer has a new
   connection, which is closed when the transfer ends, since the callbacks of
   the connection use this struct.  */
struct hedged_call
{
  struct upstream_pool *pool;
  const struct upstream_hedge *hedge;
  struct upstream *upstream; /* connection of the first transfer */
  struct upstream second;
  struct transfer transfers[UPSTREAM_HEDGED];
  bool running[UPSTREAM_HEDGED];
  enum upstream_result *results;
  unsigned n_started;
  bool second_decided; /* the second call was started or never will be */
  bool watch_caller;
};

static CURL *
easy_handle_of (const struct hedged_call *hedged, unsigned index)
{
  return index == 0 ? hedged->upstream->easy : hedged->second.easy;
}

static void
start_transfer (struct hedged_call *hedged, unsigned index,
                const struct upstream_call *call)
{
  struct transfer *transfer = &hedged->transfers[index];

  struct upstream *upstream = index == 0 ? hedged->upstream : &hedged->second;

  transfer->call = call;
  transfer->first_byte_us = call->first_byte_us;
  hedged->running[index] = true;
  hedged->n_started++;
  upstream_set_options (hedged->pool, upstream, transfer);
  if (index > 0)
    {
      curl_easy_setopt (upstream->easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (upstream->easy, CURLOPT_FORBID_REUSE, 1L);
    }
  curl_multi_add_handle (hedged->upstream->multi, upstream->easy);
}

/* Ends one transfer with RESULT.  */
static void
end_transfer (struct hedged_call *hedged, unsigned index,
              enum upstream_result result)
{
  if (!hedged->running[index])
    return;
  curl_multi_remove_handle (hedged->upstream->multi,
                            easy_handle_of (hedged, index));
  hedged->running[index] = false;
  if (result != UPSTREAM_COMPLETE && !hedged->transfers[index].sent)
    result = UPSTREAM_NOT_SENT;
  hedged->results[index] = result;
  hedged->hedge->ended (hedged->hedge->context);
}

/* Records the transfers that libcurl has completed.  Cancels the other call
   once one is chosen.  */
static void
handle_completed (struct hedged_call *hedged)
{
  CURLMsg *message;
  int left;
  int chosen;

  while ((message = curl_multi_info_read (hedged->upstream->multi, &left))
         != NULL)
    {
      unsigned index
          = message->easy_handle == easy_handle_of (hedged, 0) ? 0 : 1;
      CURLcode code = message->data.result;

      if (message->msg == CURLMSG_DONE)
        end_transfer (hedged, index,
                      upstream_classify (&hedged->transfers[index], code));
    }
  chosen = hedged->hedge->chosen (hedged->hedge->context);
  if (chosen >= 0)
    end_transfer (hedged, 1 - (unsigned)chosen, UPSTREAM_ABORTED);
}

/* Starts the second transfer when its time has come; else lowers *UNTIL_US to
   that time.  */
static void
start_second_if_due (struct hedged_call *hedged, uint64_t now_us,
                     uint64_t *until_us)
{
  const struct upstream_call *second;

  if (hedged->second_decided || hedged->transfers[0].head.status != 0)
    return;
  if (now_us < hedged->hedge->start_us)
    {
      if (hedged->hedge->start_us < *until_us)
        *until_us = hedged->hedge->start_us;
      return;
    }
  hedged->second_decided = true;
  second = hedged->hedge->begin (hedged->hedge->context);
  if (second == NULL)
    return;
  hedged->second.easy = curl_easy_init ();
  if (hedged->second.easy == NULL)
    abort ();
  start_transfer (hedged, 1, second);
  *until_us = now_us;
}

static bool
is_running (const struct hedged_call *hedged)
{
  return hedged->running[0] || hedged->running[1];
}

static void
end_all_transfers (struct hedged_call *hedged, enum upstream_result result)
{
  for (unsigned i = 0; i < UPSTREAM_HEDGED; i++)
    end_transfer (hedged, i, result);
}

static void
wait_for_progress (struct hedged_call *hedged)
{
  int caller_fd = hedged->transfers[0].call->caller_fd;
  struct curl_waitfd fds[] = { { hedged->pool->abort_fd, CURL_WAIT_POLLIN, 0 },
                               { caller_fd, CURL_WAIT_POLLIN, 0 } };
  uint64_t now_us = cp_clock_now_us (hedged->pool->clock);
  uint64_t until_us = UINT64_MAX;
  bool watched = hedged->watch_caller
                 && upstream_can_watch_caller (&hedged->transfers[0]);

  for (unsigned i = 0; i < UPSTREAM_HEDGED; i++)
    if (hedged->running[i])
      {
        enum upstream_result result = upstream_check_timeouts (
            &hedged->transfers[i], now_us, &until_us);

        if (result != UPSTREAM_COMPLETE)
          end_transfer (hedged, i, result);
      }
  if (!is_running (hedged))
    return;
  start_second_if_due (hedged, now_us, &until_us);
  curl_multi_poll (hedged->upstream->multi, fds, watched ? 2 : 1,
                   upstream_poll_timeout_ms (now_us, until_us), NULL);
  if (fds[0].revents != 0)
    end_all_transfers (hedged, UPSTREAM_STOPPED);
  if (!watched || fds[1].revents == 0)
    return;
  if (upstream_fd_closed (caller_fd))
    end_all_transfers (hedged, UPSTREAM_CALLER_GONE);
  /* The caller has sent more bytes, which hide the end of the connection.  */
  hedged->watch_caller = false;
}

unsigned
upstream_perform_hedged (struct upstream_pool *pool,
                         const struct upstream_call *first,
                         const struct upstream_hedge *hedge,
                         enum upstream_result results[UPSTREAM_HEDGED])
{
  struct hedged_call hedged = { .pool = pool,
                                .hedge = hedge,
                                .upstream = upstream_acquire (pool, first),
                                .second.fd = -1,
                                .results = results,
                                .second_decided = hedge->start_us == 0,
                                .watch_caller = true };
  int running;

  results[0] = UPSTREAM_NOT_SENT;
  results[1] = UPSTREAM_NOT_SENT;
  start_transfer (&hedged, 0, first);
  for (;;)
    {
      curl_multi_perform (hedged.upstream->multi, &running);
      handle_completed (&hedged);
      if (!is_running (&hedged))
        break;
      wait_for_progress (&hedged);
      if (!is_running (&hedged))
        break;
    }
  if (hedged.second.easy != NULL)
    curl_easy_cleanup (hedged.second.easy);
  upstream_release (pool, hedged.upstream, &hedged.transfers[0], results[0],
                    results[0] == UPSTREAM_COMPLETE);
  for (unsigned i = 0; i < UPSTREAM_HEDGED; i++)
    curl_slist_free_all (hedged.transfers[i].head.headers);
  return hedged.n_started;
}
