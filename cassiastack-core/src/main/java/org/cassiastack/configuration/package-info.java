/** Declarative configuration: services, failure domains, customers and limits. */
@NullMarked
package org.cassiastack.configuration;

import org.jspecify.annotations.NullMarked;
