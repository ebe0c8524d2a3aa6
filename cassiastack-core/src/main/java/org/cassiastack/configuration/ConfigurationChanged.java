package org.cassiastack.configuration;

import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;

/**
 * A newer configuration is in force in this process. The controllers of the control loop receive it
 * as an event. As an effect it is handed to the process, which passes it on, for example to the
 * loop of the coordinator.
 *
 * @param configuration the configuration in force
 * @since 0.1
 */
public record ConfigurationChanged(Configuration configuration) implements Event, Effect {}
