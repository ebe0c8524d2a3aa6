package org.cassiastack.decision;

import org.cassiastack.controller.Effect;

/**
 * Effect: reports a decision to operators. A controller reports each decision that affects a
 * request or that changes the process's view of the system.
 *
 * @param event name of the event, as listed in docs/LOGS.md
 * @param subject what the decision is about: the identity of a job, a run, an agent or a node
 * @param outcome what was decided, as one word of a small set
 * @param inputs what the decision was based on, as key=value pairs with the age or version of each
 *     value
 * @since 0.2
 */
public record Decision(String event, String subject, String outcome, String inputs)
    implements Effect {
  /** Creates a decision whose subject is identified by its string form. */
  public static Decision of(String event, Object subject, String outcome, String inputs) {
    return new Decision(event, String.valueOf(subject), outcome, inputs);
  }
}
