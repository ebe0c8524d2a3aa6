package org.cassiastack.configuration;

import java.time.Duration;
import org.cassiastack.model.ServiceName;

/**
 * The declaration of a service.
 *
 * @param name name of the service
 * @param expectedRunTime declared run time of a task; an estimate that the mean of the observed run
 *     times replaces gradually
 * @param defaultTimeout timeout of jobs that specify none
 * @since 0.1
 */
public record ServiceSpec(ServiceName name, Duration expectedRunTime, Duration defaultTimeout) {}
