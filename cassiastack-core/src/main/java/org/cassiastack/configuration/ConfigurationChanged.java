package org.cassiastack.configuration;

import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * A newer configuration is in force in this process; passed from the control loop to the other
 * loops.
 *
 * @param configuration the configuration in force
 * @since 0.1
 */
public record ConfigurationChanged(Configuration configuration) implements Event, Effect {}
