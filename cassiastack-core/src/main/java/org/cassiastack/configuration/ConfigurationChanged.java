package org.cassiastack.configuration;

import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * A newer configuration is in force in this process; handed from the control loop to the others.
 *
 * @param configuration the configuration in force
 * @since 0.1
 */
public record ConfigurationChanged(Configuration configuration) implements Event, Effect {}
