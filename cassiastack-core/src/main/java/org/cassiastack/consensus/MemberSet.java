package org.cassiastack.consensus;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The members of the replicated log. Learners receive entries and neither vote nor count for a
 * quorum.
 *
 * @param voters members that vote
 * @param learners members that do not vote yet
 * @since 0.1
 */
public record MemberSet(List<MemberId> voters, List<MemberId> learners) {
  /** No members. */
  public static final MemberSet EMPTY = new MemberSet(List.of(), List.of());

  /** Makes a set; the lists are copied and sorted. */
  public MemberSet {
    voters = voters.stream().sorted(MemberId.ORDER).toList();
    learners = learners.stream().sorted(MemberId.ORDER).toList();
  }

  /** Makes a set of voters. */
  public static MemberSet ofVoters(List<MemberId> voters) {
    return new MemberSet(voters, List.of());
  }

  /** Tells whether a member votes. */
  public boolean isVoter(MemberId member) {
    return voters.contains(member);
  }

  /** Tells whether a member votes or learns. */
  public boolean contains(MemberId member) {
    return voters.contains(member) || learners.contains(member);
  }

  /** Returns the voter of a node, or null. */
  public @Nullable MemberId voterOf(NodeId node) {
    return voters.stream().filter(v -> v.node().equals(node)).findFirst().orElse(null);
  }

  /** Returns the number of voters that make a majority. */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /** Returns all members, voters first. */
  public List<MemberId> all() {
    List<MemberId> all = new ArrayList<>(voters);
    all.addAll(learners);
    return all;
  }

  /** Adds a learner in place of any earlier learner of the same node. */
  public MemberSet withLearner(MemberId learner) {
    List<MemberId> others = new ArrayList<>(learners);
    others.removeIf(l -> l.node().equals(learner.node()));
    others.add(learner);
    return new MemberSet(voters, others);
  }

  /** Makes a learner a voter. */
  public MemberSet withPromoted(MemberId learner) {
    List<MemberId> more = new ArrayList<>(voters);
    more.add(learner);
    return new MemberSet(more, learners.stream().filter(l -> !l.equals(learner)).toList());
  }

  /** Removes a voter. */
  public MemberSet withoutVoter(MemberId voter) {
    return new MemberSet(voters.stream().filter(v -> !v.equals(voter)).toList(), learners);
  }
}
