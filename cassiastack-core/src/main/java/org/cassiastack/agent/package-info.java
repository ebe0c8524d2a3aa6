/**
 * The agent of one minion. It starts and stops runs for the leader, and keeps them alive only while
 * it holds a lease of the leader.
 */
@NullMarked
package org.cassiastack.agent;

import org.jspecify.annotations.NullMarked;
