package org.cassiastack.configuration;

import org.cassiastack.model.Customer;

/**
 * What operators declare of a customer.
 *
 * @param name its name
 * @param tasksPerSecond largest rate of tasks over all coordinators together
 * @param concurrentTasks largest number of tasks in flight over all coordinators together
 * @since 0.1
 */
public record CustomerSpec(Customer name, int tasksPerSecond, int concurrentTasks) {}
