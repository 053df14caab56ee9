/* The fixture of tests on a stage: three VMs, of which 1 and 2 serve alpha and
   3 serves beta, and a reply.  Included by one file of each program.  */
#ifndef STAGE_FIXTURE_H
#define STAGE_FIXTURE_H

#include "regress/harness/stage.h"
#include "regress/harness/suite.h"

#define VMS 3

static struct stage stage;
static struct reply reply;

static void
setup (void)
{
  stage_start (&stage, VMS);
  reply_init (&reply);
}

static void
teardown (void)
{
  reply_finish (&reply);
  stage_finish (&stage);
}

#endif
