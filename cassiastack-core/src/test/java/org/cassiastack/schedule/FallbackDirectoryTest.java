package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.UUID;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.MembersChanged;
import org.cassiastack.controller.Tick;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.fallback.FallbackState;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.CallerProbe;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SwitchDomain;
import org.junit.jupiter.api.Test;

/** Tests which entries a leader chooses as fallback dispatchers, and what it sends them. */
class FallbackDirectoryTest extends LeaderScenario {
  private static final NodeId ON_MEMBER = new NodeId("10.0.0.1/entry");
  private static final NodeId B = new NodeId("10.0.0.4/entry");
  private static final NodeId C = new NodeId("10.0.0.5/entry");
  private static final NodeId D = new NodeId("10.0.0.6/entry");
  private static final NodeId OTHER = new NodeId("10.0.0.7/agent");

  @Override
  ScheduleSettings settings() {
    return SETTINGS.withFallback(RESEND_DELAY);
  }

  @Test
  void chooses_two_entries_of_a_failure_domain_and_first_those_without_a_control_member() {
    on(new MembersChanged(List.of(SELF)));
    offer(ON_MEMBER, "a");
    offer(C, "a");
    offer(B, "a");
    offer(D, "b");

    assertThat(lastDirectory().nodes()).containsExactly(node(B, "a"), node(C, "a"), node(D, "b"));
  }

  /** Guards against dispatchers on machines that fall behind the load of a failure domain. */
  @Test
  void chooses_no_entry_whose_machine_cannot_carry_a_dispatcher() {
    on(new Received(B, new FallbackOffer(new FailureDomain("a"), false)));

    offer(ON_MEMBER, "a");

    assertThat(lastDirectory().nodes()).containsExactly(node(ON_MEMBER, "a"));
  }

  /** Guards against directories that change with each entry that connects. */
  @Test
  void keeps_its_choice_when_another_entry_offers_itself() {
    offer(C, "a");
    offer(D, "a");
    sends.clear();

    offer(B, "a");

    assertThat(sent(OTHER, FallbackDirectory.class)).isEmpty();
    assertThat(sent(B, FallbackState.class)).isEmpty();
  }

  @Test
  void replaces_a_chosen_entry_whose_connection_is_lost() {
    offer(B, "a");
    offer(C, "a");
    offer(D, "a");

    on(new PeerDisconnected(B));

    assertThat(lastDirectory().nodes()).containsExactly(node(C, "a"), node(D, "a"));
  }

  @Test
  void sends_the_directory_to_a_process_that_connects() {
    offer(B, "a");
    sends.clear();

    on(new PeerConnected(OTHER));

    assertThat(sent(OTHER, FallbackDirectory.class)).hasSize(1);
  }

  @Test
  void sends_state_and_directory_again_when_the_configuration_changes() {
    offer(B, "a");
    sends.clear();

    request(new StoreConfiguration(++lastRequestId, configuration(2, queue("q", 2))));

    FallbackState state = (FallbackState) sent(B, FallbackState.class).get(0);
    assertThat(state.configuration().version()).isEqualTo(2);
    assertThat(state.configuration().document()).isEqualTo(Payload.EMPTY);
    assertThat(lastDirectory().configurationVersion()).isEqualTo(2);
  }

  @Test
  void sends_the_failure_domains_that_are_out_to_the_chosen_entries_alone() {
    offer(B, "a");
    on(new PeerConnected(OTHER));
    sends.clear();

    request(new SwitchDomain(++lastRequestId, new FailureDomain("a"), true));

    FallbackState state = (FallbackState) sent(B, FallbackState.class).get(0);
    assertThat(state.domainsOut()).containsExactly(new FailureDomain("a"));
    assertThat(sent(OTHER, FallbackState.class)).isEmpty();
    assertThat(sent(OTHER, FallbackDirectory.class)).isEmpty();
  }

  @Test
  void a_new_leader_announces_the_entries_that_offered_themselves_before() {
    offer(B, "a");
    sends.clear();

    lead(6);

    assertThat(lastDirectory()).isEqualTo(new FallbackDirectory(6, 1, List.of(node(B, "a"))));
    assertThat(((FallbackState) sent(B, FallbackState.class).get(0)).generation()).isEqualTo(2);
  }

  /** Guards against a fallback dispatcher that lets an agent forget the end of a stored task. */
  @Test
  void chooses_no_entry_until_10_s_after_the_last_stored_job_has_ended() {
    offer(B, "a");
    holdCommits = true;
    submit(1, true);
    sends.clear();
    commitHeldProposals();
    List<FallbackNode> whileStored = lastDirectory().nodes();
    request(new CancelJob(++lastRequestId, ADDRESS));
    now = now.plusMillis(9_900);
    on(new LeaseExtended(fence, now.plusSeconds(10)));
    on(new Tick());
    List<FallbackNode> soonAfter = lastDirectory().nodes();
    now = now.plusMillis(200);
    on(new Tick());

    assertThat(answers).extracting(a -> a.code()).contains(AnswerCode.ACCEPTED);
    assertThat(whileStored).isEmpty();
    assertThat(soonAfter).isEmpty();
    assertThat(lastDirectory().nodes()).containsExactly(node(B, "a"));
  }

  @Test
  void is_heard_every_200_ms_by_entries_that_have_offered_themselves() {
    offer(B, "a");
    on(new PeerConnected(OTHER));
    on(new Tick());
    sends.clear();
    for (int i = 0; i < 50; i++) {
      now = now.plusMillis(20);
      on(new Tick());
    }

    assertThat(sent(B, CallerProbe.class)).hasSizeBetween(6, 7);
    assertThat(sent(OTHER, CallerProbe.class)).isEmpty();
    assertThat(sent(B, LeaderNotice.class)).hasSize(2);
    assertThat(sent(OTHER, LeaderNotice.class)).hasSize(2);
  }

  @Test
  void without_the_feature_no_entry_is_chosen() {
    LeaderController off = LeaderController.create(SELF, SETTINGS, codec, UUID::randomUUID);

    off.on(new LeaderChanged(1, SELF, true), now);

    assertThat(off.on(new Received(B, new FallbackOffer(new FailureDomain("a"), true)), now))
        .isEmpty();
    assertThat(off.on(new PeerConnected(B), now))
        .noneMatch(e -> e instanceof Send s && s.message() instanceof FallbackDirectory);
  }

  private static FallbackNode node(NodeId node, String domain) {
    return new FallbackNode(node, new FailureDomain(domain));
  }

  private FallbackDirectory lastDirectory() {
    List<Message> all =
        sends.stream().map(Send::message).filter(m -> m instanceof FallbackDirectory).toList();
    return (FallbackDirectory) all.get(all.size() - 1);
  }

  private List<Message> sent(NodeId to, Class<? extends Message> type) {
    return sends.stream()
        .filter(s -> s.to().equals(to) && type.isInstance(s.message()))
        .map(Send::message)
        .toList();
  }
}
