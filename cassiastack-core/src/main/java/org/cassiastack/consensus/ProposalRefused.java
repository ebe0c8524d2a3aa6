package org.cassiastack.consensus;

import java.util.UUID;
import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * This member does not lead, so a proposal was not appended here.
 *
 * @param proposalId identity of the proposal
 * @param leader the member that leads as far as is known, or null
 * @since 0.1
 */
public record ProposalRefused(UUID proposalId, @Nullable NodeId leader) implements Event {}
