package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.junit.jupiter.api.Test;

class LeaderNoticeRelayTest {
  private static final Instant NOW = Instant.parse("2026-12-05T08:00:00Z");
  private static final NodeId LEADER = new NodeId("10.0.0.1");
  private static final NodeId AGENT = new NodeId("10.0.0.9/agent");
  private static final LeaderNotice NOTICE = new LeaderNotice(7, LEADER, List.of(LEADER));

  private final LeaderNoticeRelay relay = LeaderNoticeRelay.create();

  @Test
  void passes_a_change_of_the_leader_on_to_every_connected_process() {
    relay.on(new PeerConnected(AGENT), NOW);

    assertThat(relay.on(new Received(LEADER, NOTICE), NOW))
        .containsExactly(new Send(AGENT, NOTICE));
  }

  @Test
  void tells_a_process_that_connects_later_who_leads() {
    relay.on(new Received(LEADER, NOTICE), NOW);

    assertThat(relay.on(new PeerConnected(AGENT), NOW)).containsExactly(new Send(AGENT, NOTICE));
  }

  @Test
  void repeats_the_notice_for_processes_that_missed_it() {
    relay.on(new PeerConnected(AGENT), NOW);
    relay.on(new Received(LEADER, NOTICE), NOW);

    assertThat(relay.on(new Tick(), NOW.plusSeconds(1))).containsExactly(new Send(AGENT, NOTICE));
  }

  @Test
  void names_no_leader_that_it_can_no_longer_reach() {
    relay.on(new Received(LEADER, NOTICE), NOW);
    relay.on(new PeerDisconnected(LEADER), NOW);

    assertThat(relay.on(new PeerConnected(AGENT), NOW))
        .containsExactly(new Send(AGENT, new LeaderNotice(7, null, List.of(LEADER))));
  }
}
