package org.cassiastack.decision;

import org.cassiastack.controller.Effect;

/**
 * The effect of telling operators of a decision: one that touches a request, or that changes what
 * the process believes.
 *
 * @param event name of the event, as docs/LOGS.md lists it
 * @param subject what it is about: the identity of a job, a run, an agent or a node
 * @param outcome what was decided, one word of a small set
 * @param inputs what decided it, as key=value pairs with the age or version of each
 * @since 0.2
 */
public record Decision(String event, String subject, String outcome, String inputs)
    implements Effect {
  /** Makes a decision about anything that words itself. */
  public static Decision of(String event, Object subject, String outcome, String inputs) {
    return new Decision(event, String.valueOf(subject), outcome, inputs);
  }
}
