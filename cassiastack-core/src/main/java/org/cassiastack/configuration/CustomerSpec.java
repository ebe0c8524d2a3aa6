package org.cassiastack.configuration;

import org.cassiastack.model.Customer;

/**
 * The declaration of a customer.
 *
 * @param name name of the customer
 * @param tasksPerSecond maximum rate of tasks, for all coordinators together
 * @param concurrentTasks maximum number of tasks in flight, for all coordinators together
 * @since 0.1
 */
public record CustomerSpec(Customer name, int tasksPerSecond, int concurrentTasks) {}
