/* What a server or its entry may contain by fault, as other operators have
   seen it.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* Maximum time from a change in the store until it is in force.  */
#define IN_FORCE_US 2000000

#define NEW_ROUTE                                                             \
  ",{\"name\":\"new\",\"kind\":\"idempotent\",\"targetLatency\":\"200ms\","   \
  "\"priority\":1,\"match\":{\"prefix\":\"/new/\"},\"action\":{\"service\":"  \
  "\"alpha\",\"timeout\":\"2000ms\",\"maxAttempts\":2}}"

/* The head of the stand-in's answer is longer than this.  */
#define HEAD_BYTES 150

static int
call (const char *method, const char *path, const char *id)
{
  stage_call (&stage, &reply, 3, method, "alpha.test", path, id,
              method[0] == 'P' ? "order" : NULL);
  return reply.status;
}

/* Returns an entry of a server of alpha.  Each argument is the JSON text of
   the member; the caller frees the result.  */
static char *
entry (const char *address, const char *capacity, const char *sequence,
       const char *warm_up)
{
  return g_strdup_printf (
      "{\"service\":\"alpha\",\"address\":%s,\"zone\":\"zone-a\",\"version\":"
      "\"v1\",\"capacity\":%s,\"state\":\"ready\",\"warmupLeft\":%s,"
      "\"sequence\":%s}",
      address, capacity, warm_up, sequence);
}

/* Returns DEPTH opening brackets, a number and as many closing ones.  */
static char *
nested_array (size_t depth)
{
  char *text = g_malloc (2 * depth + 2);

  memset (text, '[', depth);
  text[depth] = '7';
  memset (text + depth + 1, ']', depth);
  text[2 * depth + 1] = '\0';
  return text;
}

static void
put_nested (const char *key, size_t depth)
{
  CP_AUTO_FREE char *value = nested_array (depth);
  CP_AUTO_FREE char *member = entry (value, "13", "4", value);

  stage_put (&stage, key, depth % 2 == 0 ? value : member);
}

static const struct
{
  const char *address, *capacity, *sequence, *warm_up;
} odd_entries[] = {
  { "\"127.0.0.1:65536\"", "13", "4", "\"0ms\"" },
  { "\"127.0.0.1:0\"", "13", "4", "\"0ms\"" },
  { "\"127.0.0.1:-1\"", "13", "4", "\"0ms\"" },
  { "\"127.0.0.1:99999999999999999999\"", "13", "4", "\"0ms\"" },
  { "\"127.0.0.1\"", "13", "4", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "1e400", "4", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "1e300", "4", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "18446744073709551616", "4", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "4294967296", "4", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "4294967295", "4", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "-13", "4", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "13", "1e308", "\"0ms\"" },
  { "\"127.0.0.1:1\"", "13", "99999999999999999999999999", "\"0ms\"" },
};

/* Guards against daemons that end, or stop following the store, because of an
   odd entry among those of the servers.  */
START_TEST (an_odd_entry_is_ignored_and_ends_no_daemon)
{
  static const size_t depths[] = { 100, 1999, 2100, 100000 };
  gint64 since;

  for (unsigned i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    {
      CP_AUTO_FREE char *key = g_strdup_printf ("servers/odd-%u", i);
      CP_AUTO_FREE char *value
          = entry (odd_entries[i].address, odd_entries[i].capacity,
                   odd_entries[i].sequence, odd_entries[i].warm_up);

      stage_put (&stage, key, value);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      CP_AUTO_FREE char *key = g_strdup_printf ("servers/nested-%u", i);

      put_nested (key, depths[i]);
    }
  since = g_get_monotonic_time ();
  stage_configure (&stage, NEW_ROUTE);
  while (call ("GET", "/new/1", "n1") != 200)
    ck_assert_int_lt (g_get_monotonic_time () - since, IN_FORCE_US);
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      ck_assert_int_eq (kill (stage.daemons[vm].pid, 0), 0);
      ck_assert_uint_eq (stage_counter (&stage, vm, "servers"), VMS);
    }
  /* One that starts must read them all in its first listing.  */
  process_signal (&stage.daemons[3], SIGKILL);
  stage_start_daemon (&stage, 3);
  stage_wait_ready (&stage, 3);
  ck_assert_int_eq (call ("GET", "/new/1", "n2"), 200);
}
END_TEST

static const char *const repeated_refusals[]
    = { "/write/1?refuse-again&slow=200",
        "/write/1?refuse-again&nameless&slow=200" };

/* Guards against a caller that is told that its request has not run, or a
   second run, because a server writes an earlier refusal once more.  */
START_TEST (an_earlier_refusal_does_not_refuse_a_running_request)
{
  /* Connections are kept from here on.  */
  ck_assert_int_eq (call ("POST", "/write/1?shed", "earlier"), 503);
  for (unsigned i = 0; i < 4; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("r%u", i);
      int status = call ("POST", repeated_refusals[_i], id);

      ck_assert_uint_eq (stage_runs (&stage, id), 1);
      ck_assert_int_ne (status, 503);
      ck_assert_int_ne (status, 429);
    }
}
END_TEST

/* Guards against a second run elsewhere, or a caller that is told that its
   request has not run, when the late copy of the refusal of an earlier attempt
   comes before the answer to the next attempt of the same request.  */
START_TEST (a_late_copy_of_a_refusal_is_not_taken_for_the_next_attempts_answer)
{
  CP_AUTO_FREE char *key = stage_server_key (&stage, 2);

  stage_remove (&stage, key);
  g_usleep (IN_FORCE_US);
  ck_assert_int_eq (call ("POST", "/write/0", "w0"), 200);
  for (unsigned i = 0; i < 4; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("c%u", i);

      ck_assert_int_eq (call ("POST", "/write/1?late-copy&slow=100", id), 503);
      ck_assert_uint_eq (stage_runs (&stage, id), 0);
      ck_assert_int_eq (call ("POST", "/write/1?late-copy&slow=100", id), 200);
      ck_assert_uint_eq (stage_runs (&stage, id), 1);
    }
}
END_TEST

/* Guards against an answer that is passed on as whole, with an empty body,
   when the server stopped in the middle of its head.  */
START_TEST (an_answer_that_ends_in_its_head_is_no_success)
{
  for (unsigned length = 1; length < HEAD_BYTES; length += 3)
    {
      CP_AUTO_FREE char *path = g_strdup_printf ("/write/1?head=%u", length);
      CP_AUTO_FREE char *id = g_strdup_printf ("h%u", length);

      ck_assert_int_eq (call ("POST", path, id), 502);
      ck_assert_uint_eq (stage_runs (&stage, id), 1);
    }
  for (unsigned length = 1; length < HEAD_BYTES; length += 20)
    {
      CP_AUTO_FREE char *path
          = g_strdup_printf ("/read/1?once&head=%u", length);
      CP_AUTO_FREE char *id = g_strdup_printf ("g%u", length);

      ck_assert_int_eq (call ("GET", path, id), 200);
      ck_assert_str_eq (reply.body->str, "whole");
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, an_odd_entry_is_ignored_and_ends_no_daemon);
  tcase_add_loop_test (tests,
                       an_earlier_refusal_does_not_refuse_a_running_request, 0,
                       G_N_ELEMENTS (repeated_refusals));
  tcase_add_test (
      tests,
      a_late_copy_of_a_refusal_is_not_taken_for_the_next_attempts_answer);
  tcase_add_test (tests, an_answer_that_ends_in_its_head_is_no_success);
}

int
main (void)
{
  return suite_run ("mesh_faulty_servers", add_tests, 60);
}
