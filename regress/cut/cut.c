/* A network cut between VMs, for tests only: preloaded into the daemons of a
   test fleet.

   The file that CORNELPICK_CUT names holds lines "FROM TO FROM TO": the VMs of
   the first range and those of the second, by the last octet of their
   addresses, do not reach each other.  Datagrams vanish, new connections fail
   with EHOSTUNREACH, and open ones with EPIPE at the next write.  The own
   number is taken from the settings file "vm-N.json" on the command line.  */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static unsigned
own_number (void)
{
  static unsigned number;
  char line[1024];
  FILE *file;
  size_t length;

  if (number != 0)
    return number;
  file = fopen ("/proc/self/cmdline", "r");
  if (file == NULL)
    return 0;
  length = fread (line, 1, sizeof line - 1, file);
  fclose (file);
  for (size_t i = 0; i + 5 < length; i++)
    if (memcmp (line + i, "/vm-", 4) == 0)
      number = (unsigned)strtoul (line + i + 4, NULL, 10);
  return number;
}

static bool
within (unsigned number, unsigned from, unsigned to)
{
  return number >= from && number <= to;
}

/* Returns whether the way to ADDRESS is cut.  */
static bool
is_cut (const struct sockaddr *address)
{
  const char *path = getenv ("CORNELPICK_CUT");
  unsigned own = own_number ();
  unsigned range[4];
  bool cut = false;
  unsigned other;
  FILE *file;

  if (path == NULL || own == 0 || address == NULL
      || address->sa_family != AF_INET)
    return false;
  other = ntohl (((const struct sockaddr_in *)address)->sin_addr.s_addr);
  if (other >> 8 == INADDR_LOOPBACK >> 8)
    return false;
  other &= 255;
  file = fopen (path, "r");
  if (file == NULL)
    return false;
  while (!cut
         && fscanf (file, "%u %u %u %u", &range[0], &range[1], &range[2],
                    &range[3])
                == 4)
    cut = (within (own, range[0], range[1])
           && within (other, range[2], range[3]))
          || (within (own, range[2], range[3])
              && within (other, range[0], range[1]));
  fclose (file);
  return cut;
}

static bool
is_cut_peer (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  return getpeername (fd, (struct sockaddr *)&address, &length) == 0
         && is_cut ((struct sockaddr *)&address);
}

int
connect (int fd, const struct sockaddr *address, socklen_t length)
{
  int (*next) (int, const struct sockaddr *, socklen_t);

  *(void **)&next = dlsym (RTLD_NEXT, "connect");
  if (!is_cut (address))
    return next (fd, address, length);
  errno = EHOSTUNREACH;
  return -1;
}

ssize_t
sendto (int fd, const void *data, size_t size, int flags,
        const struct sockaddr *address, socklen_t length)
{
  ssize_t (*next) (int, const void *, size_t, int, const struct sockaddr *,
                   socklen_t);

  *(void **)&next = dlsym (RTLD_NEXT, "sendto");
  if (is_cut (address))
    return (ssize_t)size;
  return next (fd, data, size, flags, address, length);
}

ssize_t
send (int fd, const void *data, size_t size, int flags)
{
  ssize_t (*next) (int, const void *, size_t, int);

  *(void **)&next = dlsym (RTLD_NEXT, "send");
  if (!is_cut_peer (fd))
    return next (fd, data, size, flags);
  errno = EPIPE;
  return -1;
}
