#include "meshd/replies.h"

struct reply
{
  struct cds_list_head node;
  struct cp_peer_message message;
};

static void
reply_free (struct reply *reply)
{
  struct cp_peer_answer *answer = &reply->message.cp_peer_message_u.answer;

  if (reply->message.kind == CP_PEER_ANSWER)
    {
      g_free (answer->head);
      g_free (answer->body.cp_peer_body_val);
    }
  g_free (reply);
}

/* Takes the oldest result off the list of REPLIES.  Returns NULL if there is
   none.  */
static struct reply *
take_first (struct mesh_replies *replies)
{
  struct reply *reply;

  if (cds_list_empty (&replies->waiting))
    return NULL;
  reply = cds_list_first_entry (&replies->waiting, struct reply, node);
  cds_list_del (&reply->node);
  return reply;
}

void
mesh_replies_deliver (struct mesh_replies *replies)
{
  struct reply *reply;

  while ((reply = take_first (replies)) != NULL)
    {
      replies->deliver (replies->context, &reply->message);
      reply_free (reply);
    }
  uv_idle_stop (&replies->idle);
}

static void
on_idle (uv_idle_t *idle)
{
  mesh_replies_deliver (idle->data);
}

void
mesh_replies_init (struct mesh_replies *replies, uv_loop_t *loop,
                   void (*deliver) (void *context,
                                    const struct cp_peer_message *message),
                   void *context)
{
  *replies = (struct mesh_replies){ .deliver = deliver, .context = context };
  CDS_INIT_LIST_HEAD (&replies->waiting);
  uv_idle_init (loop, &replies->idle);
  replies->idle.data = replies;
}

void
mesh_replies_stop (struct mesh_replies *replies)
{
  struct reply *reply;

  while ((reply = take_first (replies)) != NULL)
    reply_free (reply);
  uv_close ((uv_handle_t *)&replies->idle, NULL);
}

void
mesh_replies_add (struct mesh_replies *replies,
                  const struct cp_peer_message *message)
{
  struct reply *reply = g_new0 (struct reply, 1);
  struct cp_peer_answer *answer = &reply->message.cp_peer_message_u.answer;

  reply->message = *message;
  if (message->kind == CP_PEER_ANSWER)
    {
      answer->head = g_strdup (answer->head);
      answer->body.cp_peer_body_val = g_memdup2 (
          answer->body.cp_peer_body_val, answer->body.cp_peer_body_len);
    }
  cds_list_add_tail (&reply->node, &replies->waiting);
  uv_idle_start (&replies->idle, on_idle);
}
