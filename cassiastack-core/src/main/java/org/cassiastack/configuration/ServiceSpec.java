package org.cassiastack.configuration;

import java.time.Duration;
import org.cassiastack.model.ServiceName;

/**
 * What operators declare of a service.
 *
 * @param name its name
 * @param expectedRunTime declared run time of one task; a hint that observation corrects
 * @param defaultTimeout timeout of jobs that name none
 * @since 0.1
 */
public record ServiceSpec(ServiceName name, Duration expectedRunTime, Duration defaultTimeout) {}
