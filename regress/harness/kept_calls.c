#include <stdio.h>

#include "regress/harness/harness.h"

#define PORT_CALLS 8000
#define STATUS_OK 200

static size_t
discard (char *data, size_t size, size_t count, void *context)
{
  (void)data;
  (void)context;
  return size * count;
}

CURL *
kept_connection_open (const char *address, struct curl_slist *headers)
{
  CURL *easy = curl_easy_init ();
  char url[128];

  snprintf (url, sizeof url, "http://%s/items/1", address);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard);
  return easy;
}

long
kept_connection_call (CURL *connection)
{
  long status = 0;

  if (curl_easy_perform (connection) == CURLE_OK)
    curl_easy_getinfo (connection, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

static void *
make_calls (void *context)
{
  struct kept_caller *caller = context;
  struct curl_slist *headers = curl_slist_append (NULL, "Host: shop.example");
  CURL *connection = kept_connection_open (caller->address, headers);

  for (unsigned i = 0; i < caller->calls; i++)
    if (kept_connection_call (connection) != STATUS_OK)
      caller->lost++;
  curl_slist_free_all (headers);
  curl_easy_cleanup (connection);
  return NULL;
}

void
kept_caller_start (struct kept_caller *caller, const struct fleet *fleet,
                   unsigned vm, unsigned calls)
{
  fleet_address (fleet, vm, PORT_CALLS, caller->address);
  caller->calls = calls;
  caller->lost = 0;
  harness_require (pthread_create (&caller->thread, NULL, make_calls, caller)
                       == 0,
                   "cannot start a thread");
}

unsigned
kept_caller_join (struct kept_caller *caller)
{
  pthread_join (caller->thread, NULL);
  return caller->lost;
}
