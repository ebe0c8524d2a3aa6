package org.cassiastack.configuration;

import java.time.Instant;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Permission to start work until a time and under a configuration. The control loop passes a new
 * permission to the traffic loop at each renewal; a permission that is not renewed expires.
 *
 * @param until time from which on the configuration is too old to start anything
 * @param configuration the configuration in force
 * @since 0.1
 */
public record StartsAllowed(Instant until, Configuration configuration) implements Event, Effect {
  /** The permission before the first configuration is received: nothing may start. */
  public static final StartsAllowed NONE = new StartsAllowed(Instant.MIN, Configuration.EMPTY);

  /** Returns why a task must not start in a failure domain now, or null if it may start. */
  public @Nullable ResultCode refusal(FailureDomain domain, Instant now) {
    if (isStale(now)) {
      return ResultCode.STALE;
    }
    return configuration.allowsStartsIn(domain) ? null : ResultCode.DOMAIN_OUT;
  }

  /** Returns whether the configuration is too old to start anything. */
  public boolean isStale(Instant now) {
    return !now.isBefore(until);
  }
}
