/* The digest of a request's content.  */
#include "lib/request_digest.h"
#include "regress/harness/suite.h"

static const struct cp_request_content content = { .method = "POST",
                                                   .host = "shop.test",
                                                   .target = "/order/1?x=2",
                                                   .caller = "front",
                                                   .body = "body",
                                                   .body_bytes = 4 };

START_TEST (equal_content_has_equal_digests)
{
  struct cp_request_content copy = content;
  char body[] = "body";

  copy.body = body;
  ck_assert_uint_eq (cp_request_digest (&copy), cp_request_digest (&content));
}
END_TEST

START_TEST (every_part_changes_the_digest)
{
  struct cp_request_content others[]
      = { content, content, content, content, content, content, content };

  others[0].method = "PUT";
  others[1].host = "shop2.test";
  others[2].target = "/order/1?x=3";
  others[3].caller = NULL;
  others[4].body = "Body";
  others[5].body_bytes = 3;
  /* The end of one part does not count as the begin of the next.  */
  others[6].method = "POSTshop";
  others[6].host = ".test";
  for (unsigned i = 0; i < sizeof others / sizeof others[0]; i++)
    ck_assert_uint_ne (cp_request_digest (&others[i]),
                       cp_request_digest (&content));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, equal_content_has_equal_digests);
  tcase_add_test (tests, every_part_changes_the_digest);
}

int
main (void)
{
  return suite_run ("request_digest", add_tests, 10);
}
