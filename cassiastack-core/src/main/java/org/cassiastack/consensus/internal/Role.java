package org.cassiastack.consensus.internal;

/** Part that a member plays in its term. */
enum Role {
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
