package org.cassiastack.configuration;

import java.time.Instant;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Until when a process may start work, and under which configuration; handed from the control loop
 * to traffic at each renewal. Without renewal the permission lapses by itself.
 *
 * @param until from when on the configuration is too old to start anything
 * @param configuration the configuration in force
 * @since 0.1
 */
public record StartsAllowed(Instant until, Configuration configuration) implements Event, Effect {
  /** What a process may start before it first heard of a configuration: nothing. */
  public static final StartsAllowed NONE = new StartsAllowed(Instant.MIN, Configuration.EMPTY);

  /** Returns why a task must not start in a failure domain now, or null when it may. */
  public @Nullable ResultCode refusal(FailureDomain domain, Instant now) {
    if (isStale(now)) {
      return ResultCode.STALE;
    }
    return configuration.allowsStartsIn(domain) ? null : ResultCode.DOMAIN_OUT;
  }

  /** Tells whether the configuration is too old to start anything. */
  public boolean isStale(Instant now) {
    return !now.isBefore(until);
  }
}
