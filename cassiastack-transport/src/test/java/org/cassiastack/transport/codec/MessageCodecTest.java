package org.cassiastack.transport.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.configuration.CustomerSpec;
import org.cassiastack.configuration.FailureDomainSpec;
import org.cassiastack.configuration.ServiceSpec;
import org.cassiastack.consensus.AppendReply;
import org.cassiastack.consensus.AppendRequest;
import org.cassiastack.consensus.GreetingWithoutLog;
import org.cassiastack.consensus.InstallSnapshot;
import org.cassiastack.consensus.JoinRequest;
import org.cassiastack.consensus.LeadershipReleased;
import org.cassiastack.consensus.LogEntry;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.consensus.MemberSet;
import org.cassiastack.consensus.Snapshot;
import org.cassiastack.consensus.VoteReply;
import org.cassiastack.consensus.VoteRequest;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.fallback.FallbackState;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.JobId;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.TaskId;
import org.cassiastack.model.Worker;
import org.cassiastack.propagation.AskConfiguration;
import org.cassiastack.propagation.ConfigurationAge;
import org.cassiastack.propagation.ConfigurationUpdate;
import org.cassiastack.propagation.ForwardApply;
import org.cassiastack.propagation.ForwardedApply;
import org.cassiastack.protocol.Announce;
import org.cassiastack.protocol.CancelTasks;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Hello;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Ping;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.protocol.TaskNotStarted;
import org.cassiastack.protocol.Welcome;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.AskJob;
import org.cassiastack.request.AskQueueConfiguration;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.CallerProbe;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.DomainRevision;
import org.cassiastack.request.FallbackSubmit;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswer;
import org.cassiastack.request.ResubmitJob;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.request.SwitchDomain;
import org.cassiastack.request.SwitchDomainSince;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.RunOutcome;
import org.cassiastack.runs.StartOrder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class MessageCodecTest {
  private static final Instant ISSUED = Instant.parse("2026-12-04T08:00:00Z");
  private static final Instant PROBED_AT = ISSUED.plusMillis(150);
  private static final TaskId TASK =
      new TaskId(new JobId(new Customer("ayaz"), JobKey.of(ISSUED, 1, 2)), 7);
  private static final Epoch EPOCH = new Epoch(3);
  private static final MemberId FIRST = new MemberId(new NodeId("c1"), new UUID(1, 1));
  private static final MemberId SECOND = new MemberId(new NodeId("c2"), new UUID(-1, -2));
  private static final MemberSet MEMBERS = new MemberSet(List.of(FIRST), List.of(SECOND));
  private static final Incarnation INCARNATION = new Incarnation(1_700_000_000_000_000L);

  private static final QueueAddress ADDRESS = new QueueAddress("h", "/q/00000000000000aa");
  private static final MinionIncarnation MINION_INCARNATION =
      new MinionIncarnation(new MinionId("i-1"), 1_700_000_000_000L);
  private static final RunId RUN =
      new RunId(new QueuedTaskId(new QueuedJobId(0xaaL), 0, 1, 2), 1_003);

  private final MessageCodec codec = MessageCodec.create();

  static Stream<Message> messages() {
    return Stream.concat(messagesOfLeaders(), messagesOfFallback());
  }

  private static Stream<Message> messagesOfLeaders() {
    Worker worker = new Worker("w1", "r1", new FailureDomain("north"), 32, 65_536);
    Minion minion = new Minion(new MinionId("m1"), new ServiceName("ice"), worker, 8, 64);
    Payload payload = Payload.wrap(new byte[] {0, 1, (byte) 0xFF});
    return Stream.of(
        new Hello(Hello.PROTOCOL_VERSION, new NodeId("e1"), INCARNATION),
        new Ping(9),
        new Announce(new NodeId("a1"), INCARNATION, 4, false, List.of(minion)),
        new Welcome(new NodeId("e1"), 4),
        new Dispatch(
            TASK, EPOCH, 2, INCARNATION, new MinionId("m1"), payload, Duration.ofMillis(250)),
        new TaskEnded(TASK, EPOCH, ResultCode.COMPLETE, payload),
        new TaskNotStarted(TASK, EPOCH, 2, ResultCode.NO_MINION),
        new CancelTasks(List.of(new CancelTasks.Withdrawal(TASK, 2, INCARNATION)), EPOCH),
        new VoteRequest(FIRST, SECOND, 5, 7, 4, true),
        new VoteReply(SECOND, FIRST, 5, true, false),
        new LeadershipReleased(FIRST, SECOND, 5, SECOND),
        new AppendRequest(FIRST, SECOND, 5, ISSUED, 7, 4, 6, entries(payload)),
        new AppendReply(SECOND, FIRST, 5, ISSUED, true, 10),
        new InstallSnapshot(FIRST, SECOND, 5, ISSUED, new Snapshot(7, 4, MEMBERS, payload)),
        new MemberGreeting(FIRST, true, null),
        new MemberGreeting(SECOND, false, FIRST),
        new GreetingWithoutLog(SECOND.node(), FIRST, null),
        new GreetingWithoutLog(SECOND.node(), FIRST, FIRST),
        new JoinRequest(FIRST),
        new AskConfiguration(5, new Revision(7)),
        new ConfigurationAge(5, new Revision(7), Duration.ofMillis(120)),
        new ConfigurationUpdate(List.of(delta())),
        new ForwardApply(new UUID(1, 2), new ChangeId(new UUID(3, 4)), new Revision(6), delta()),
        new ForwardedApply(new UUID(1, 2), new ApplyResult(ResultCode.STALE_BASE, new Revision(7))),
        new LeaderNotice(5, new NodeId("10.0.0.1"), List.of(new NodeId("10.0.0.1"))),
        new LeaderNotice(5, null, List.of()),
        new SubmitJob(1, ADDRESS, queuedJob(), Duration.ofMillis(1_470), Duration.ofMillis(30)),
        new AskJob(2, ADDRESS),
        new CancelJob(3, ADDRESS),
        new StoreConfiguration(4, queues(payload)),
        new AskQueueConfiguration(5),
        new SwitchDomain(6, new FailureDomain("north"), true),
        new SwitchDomainSince(9, new FailureDomain("north"), false, new DomainRevision(5, 2)),
        new LeaderReply(7, RequestAnswer.phase(AnswerCode.FOUND, JobPhase.RUNNING), 4),
        new LeaderReply(8, RequestAnswer.configuration(payload, 3), 5),
        agentReport(),
        new AgentLease(5, ISSUED, Duration.ofSeconds(1), MINION_INCARNATION, 3),
        new AgentLease(5, ISSUED, Duration.ofSeconds(1), null, 0),
        new RunOrders(
            5,
            INCARNATION,
            9,
            MINION_INCARNATION,
            List.of(new StartOrder(RUN, "spec")),
            List.of(RUN)));
  }

  private static Stream<Message> messagesOfFallback() {
    return Stream.of(
        new FallbackOffer(new FailureDomain("north"), true),
        new FallbackDirectory(5, 7, List.of(fallbackNode())),
        new FallbackState(5, 2, queues(Payload.EMPTY), List.of(new FailureDomain("east"))),
        new FallbackSubmit(submission(), 7, PROBED_AT),
        new FallbackSubmit(submission(), 7, null),
        new ResubmitJob(submission(), PROBED_AT),
        new ResubmitJob(submission(), null),
        new CallerProbe(PROBED_AT),
        new AwaitedJobs(PROBED_AT, List.of(queuedJob().id(), new QueuedJobId(-1))),
        new AwaitedSubmit(submission(), PROBED_AT));
  }

  private static FallbackNode fallbackNode() {
    return new FallbackNode(new NodeId("10.0.0.4/entry"), new FailureDomain("north"));
  }

  private static SubmitJob submission() {
    return new SubmitJob(1, ADDRESS, queuedJob(), Duration.ofMillis(900), Duration.ofMillis(600));
  }

  private static AgentReport agentReport() {
    return new AgentReport(
        INCARNATION,
        ISSUED,
        5,
        profile(),
        true,
        true,
        9,
        Duration.ofMillis(40),
        List.of(new ActiveRun(RUN, 40)),
        List.of(RUN),
        List.of(new EndedRun(3, RUN, RunOutcome.DONE)));
  }

  private static QueuedJob queuedJob() {
    StepSpec step = new StepSpec(4, 3_100, 64, 1, Duration.ofMillis(86), List.of(0), "a", "r1", 2);
    return new QueuedJob(new QueuedJobId(-1), "spec", List.of(step), true);
  }

  private static QueueConfiguration queues(Payload document) {
    Queue queue =
        new Queue("q", "h", "/q/", new ServiceName("ice"), 2, 3, 1.6, Duration.ofMillis(60));
    return new QueueConfiguration(7, List.of(queue), document);
  }

  private static MinionProfile profile() {
    return new MinionProfile(
        MINION_INCARNATION,
        new ServiceName("ice"),
        new FailureDomain("north"),
        new Resources(32_000, 65_536, 0),
        List.of("a", "r1"),
        false);
  }

  private static ConfigurationDelta delta() {
    ServiceSpec service =
        new ServiceSpec(new ServiceName("ice"), Duration.ofMillis(200), Duration.ofSeconds(60));
    return new ConfigurationDelta(
        new Revision(6),
        new Revision(7),
        List.of(service),
        List.of(new FailureDomainSpec(new FailureDomain("north"), "steppe", false)),
        List.of(new CustomerSpec(new Customer("ayaz"), 500, 20)),
        List.of(new ServiceName("frost")),
        List.of(new FailureDomain("east")),
        List.of(new Customer("inyenyeri")));
  }

  private static List<LogEntry> entries(Payload payload) {
    return List.of(
        LogEntry.noOp(8, 5),
        LogEntry.command(9, 5, new UUID(1, 2), payload),
        LogEntry.members(10, 5, MEMBERS));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void decoding_an_encoded_message_gives_an_equal_message(Message message) throws Exception {
    assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
  }

  @Test
  void every_message_type_has_a_test_message() {
    assertThat(messages().map(Object::getClass).distinct())
        .containsExactlyInAnyOrderElementsOf(
            Stream.of(MessageType.values()).<Class<?>>map(MessageType::messageClass).toList());
  }

  @Test
  void refuses_bytes_that_are_not_a_message() {
    assertThatThrownBy(() -> codec.decode(new byte[] {0, 1, 2, 3}))
        .isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void refuses_an_unknown_type_number() {
    assertThatThrownBy(() -> codec.decode(new byte[] {99, 99, 0}))
        .isInstanceOf(MalformedMessageException.class)
        .hasMessageContaining("unknown message type");
  }

  @Test
  void refuses_trailing_bytes() throws Exception {
    byte[] bytes = codec.encode(new Ping(1));
    byte[] withTrailingByte = Arrays.copyOf(bytes, bytes.length + 1);

    assertThatThrownBy(() -> codec.decode(withTrailingByte))
        .isInstanceOf(MalformedMessageException.class);
  }
}
