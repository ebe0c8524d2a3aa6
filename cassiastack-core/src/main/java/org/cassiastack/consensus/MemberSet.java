package org.cassiastack.consensus;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The members of the replicated log. Learners receive entries but do not vote and do not count
 * towards a quorum.
 *
 * @param voters members that vote in elections and count towards a quorum, in {@link
 *     MemberId#ORDER}
 * @param learners members that receive entries but do not vote yet, in {@link MemberId#ORDER}
 * @since 0.1
 */
public record MemberSet(List<MemberId> voters, List<MemberId> learners) {
  /** The set without members. */
  public static final MemberSet EMPTY = new MemberSet(List.of(), List.of());

  /** Creates a set; the lists are copied and sorted. */
  public MemberSet {
    voters = voters.stream().sorted(MemberId.ORDER).toList();
    learners = learners.stream().sorted(MemberId.ORDER).toList();
  }

  /** Returns a set that has only voters. */
  public static MemberSet ofVoters(List<MemberId> voters) {
    return new MemberSet(voters, List.of());
  }

  /** Returns whether a member is a voter. */
  public boolean isVoter(MemberId member) {
    return voters.contains(member);
  }

  /** Returns whether a member is a voter or a learner. */
  public boolean contains(MemberId member) {
    return voters.contains(member) || learners.contains(member);
  }

  /** Returns the voter that runs on a node, or null if no voter does. */
  public @Nullable MemberId voterOf(NodeId node) {
    return voters.stream().filter(v -> v.node().equals(node)).findFirst().orElse(null);
  }

  /** Returns the smallest number of voters that is a majority. */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /** Returns the voters, followed by the learners. */
  public List<MemberId> all() {
    List<MemberId> all = new ArrayList<>(voters);
    all.addAll(learners);
    return all;
  }

  /** Returns this set with a learner added; it replaces another learner of the same node. */
  public MemberSet withLearner(MemberId learner) {
    List<MemberId> newLearners = new ArrayList<>(learners);
    newLearners.removeIf(l -> l.node().equals(learner.node()));
    newLearners.add(learner);
    return new MemberSet(voters, newLearners);
  }

  /** Returns this set with a learner promoted to voter. */
  public MemberSet withPromoted(MemberId learner) {
    List<MemberId> newVoters = new ArrayList<>(voters);
    newVoters.add(learner);
    return new MemberSet(newVoters, learners.stream().filter(l -> !l.equals(learner)).toList());
  }

  /** Returns this set without a voter. */
  public MemberSet withoutVoter(MemberId voter) {
    return new MemberSet(voters.stream().filter(v -> !v.equals(voter)).toList(), learners);
  }
}
