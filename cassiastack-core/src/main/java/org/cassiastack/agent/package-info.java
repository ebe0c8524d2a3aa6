/**
 * The agent of one minion: it starts and stops runs for the leader, and keeps them alive only while
 * the leader lets it.
 */
@NullMarked
package org.cassiastack.agent;

import org.jspecify.annotations.NullMarked;
