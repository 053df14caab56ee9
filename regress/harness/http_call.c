#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "regress/harness/harness.h"

void
reply_init (struct reply *reply)
{
  reply->status = 0;
  reply->head = g_string_new (NULL);
  reply->body = g_string_new (NULL);
}

void
reply_finish (struct reply *reply)
{
  g_string_free (reply->head, TRUE);
  g_string_free (reply->body, TRUE);
}

static size_t
append_text (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

static struct curl_slist *
header_list (const char *headers)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  gchar **lines = g_strsplit (headers == NULL ? "" : headers, "\n", -1);

  for (gchar **line = lines; *line != NULL; line++)
    if (**line != '\0')
      list = curl_slist_append (list, *line);
  g_strfreev (lines);
  return list;
}

void
http_call (struct reply *reply, const char *address, const char *method,
           const char *path, const char *headers, const char *body,
           long timeout_ms)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *list = header_list (headers);
  char url[512];
  long status = 0;
  CURLcode code;

  snprintf (url, sizeof url, "http://%s%s", address, path);
  g_string_truncate (reply->head, 0);
  g_string_truncate (reply->body, 0);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  if (body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
    }
  if (strcmp (method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, append_text);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, reply->head);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_text);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, reply->body);
  code = curl_easy_perform (easy);
  if (code == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  reply->refused = code == CURLE_COULDNT_CONNECT;
  reply->status = (int)status;
  curl_slist_free_all (list);
  curl_easy_cleanup (easy);
}

bool
reply_header (const struct reply *reply, const char *name, char *value,
              size_t size)
{
  gchar **lines = g_strsplit (reply->head->str, "\r\n", -1);
  size_t length = strlen (name);
  bool found = false;

  for (gchar **line = lines; *line != NULL && !found; line++)
    if (strncasecmp (*line, name, length) == 0 && (*line)[length] == ':')
      {
        const char *start = *line + length + 1;

        g_strlcpy (value, start + strspn (start, " "), size);
        found = true;
      }
  g_strfreev (lines);
  return found;
}
