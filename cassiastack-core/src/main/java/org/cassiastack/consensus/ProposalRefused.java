package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * This member is not the leader, so it has not appended a proposal.
 *
 * @param proposalId id of the proposal
 * @param leader node of the leader that this member knows of, or null if it knows of none
 * @since 0.1
 */
public record ProposalRefused(UUID proposalId, @Nullable NodeId leader) implements Event {}
