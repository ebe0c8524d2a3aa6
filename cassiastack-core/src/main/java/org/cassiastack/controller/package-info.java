/** State machines (controllers) and the single-threaded loop that runs them. */
@NullMarked
package org.cassiastack.controller;

import org.jspecify.annotations.NullMarked;
