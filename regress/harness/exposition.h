/* A strict reader of the Prometheus text format, version 0.0.4.  */
#ifndef EXPOSITION_H
#define EXPOSITION_H

#include <glib.h>
#include <stdbool.h>

/* Checks TEXT: each family once, HELP and TYPE before its samples, names,
   label values and numbers well formed, counters end in _total, durations in
   _seconds, at most SERIES_MAX series a family, histograms cumulative with
   +Inf equal to the count.  Returns NULL, or the first fault, to be freed.  */
char *exposition_check (const char *text, unsigned series_max);

#endif
