package org.cassiastack.consensus.internal;

/** Role of a member in its term. */
enum Role {
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
