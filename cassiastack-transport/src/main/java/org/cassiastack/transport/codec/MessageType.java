package org.cassiastack.transport.codec;

import java.util.HashMap;
import java.util.Map;
import org.cassiastack.consensus.AppendReply;
import org.cassiastack.consensus.AppendRequest;
import org.cassiastack.consensus.GreetingWithoutLog;
import org.cassiastack.consensus.InstallSnapshot;
import org.cassiastack.consensus.JoinRequest;
import org.cassiastack.consensus.LeadershipReleased;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.VoteReply;
import org.cassiastack.consensus.VoteRequest;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.fallback.FallbackState;
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
import org.cassiastack.request.AskJob;
import org.cassiastack.request.AskQueueConfiguration;
import org.cassiastack.request.AwaitedJobs;
import org.cassiastack.request.AwaitedSubmit;
import org.cassiastack.request.CallerProbe;
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.FallbackSubmit;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.ResubmitJob;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.request.SwitchDomain;
import org.cassiastack.request.SwitchDomainSince;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.RunOrders;
import org.jspecify.annotations.Nullable;

/**
 * The message types and their numbers on the wire. A number is never reassigned to another type.
 *
 * @since 0.1
 */
public enum MessageType {
  /** First message of each connection, from both ends. */
  HELLO(1, Hello.class),
  /**
   * Sent over a connection after an interval without other messages, to keep the connection open.
   */
  PING(2, Ping.class),
  /** Agent to entry: the minions that the agent manages. */
  ANNOUNCE(10, Announce.class),
  /** Entry to agent: answer to an announcement. */
  WELCOME(11, Welcome.class),
  /** Coordinator to agent: a task to run. */
  DISPATCH(20, Dispatch.class),
  /** Agent to coordinator: the result of a task. */
  TASK_ENDED(21, TaskEnded.class),
  /** Agent to coordinator: proof that a task did not start. */
  TASK_NOT_STARTED(22, TaskNotStarted.class),
  /** Coordinator to agent: tasks to withdraw. */
  CANCEL_TASKS(23, CancelTasks.class),
  /** Candidate to control member: request for a vote or a pre-vote. */
  VOTE_REQUEST(40, VoteRequest.class),
  /** Control member to candidate: answer to a vote request. */
  VOTE_REPLY(41, VoteReply.class),
  /** Leader to control member: log entries, or a heartbeat without entries. */
  APPEND_REQUEST(42, AppendRequest.class),
  /** Control member to leader: answer to an append request or a snapshot. */
  APPEND_REPLY(43, AppendReply.class),
  /** Leader to control member: a snapshot that replaces the state of the member. */
  INSTALL_SNAPSHOT(44, InstallSnapshot.class),
  /** Between control members: the identity of the sender and whether the sender's log is empty. */
  MEMBER_GREETING(45, MemberGreeting.class),
  /** Former leader to control member: the leader has given up its lease. */
  LEADERSHIP_RELEASED(46, LeadershipReleased.class),
  /** Listed node without storage to control member: answer to a greeting. */
  GREETING_WITHOUT_LOG(47, GreetingWithoutLog.class),
  /** Any process that was greeted by a control member to leader: the member to add. */
  JOIN_REQUEST(48, JoinRequest.class),
  /**
   * Any process to a process that may hold a newer configuration: request for a confirmation that
   * the sender's revision is the newest.
   */
  ASK_CONFIGURATION(60, AskConfiguration.class),
  /**
   * Answer to a request for a confirmation: how long ago the revision was known to be the newest.
   */
  CONFIGURATION_AGE(61, ConfigurationAge.class),
  /** To each process that has requested a confirmation: the changes up to a newer revision. */
  CONFIGURATION_UPDATE(62, ConfigurationUpdate.class),
  /** Entry to control member: an operator's change. */
  FORWARD_APPLY(63, ForwardApply.class),
  /** Control member to entry: the outcome of a forwarded change. */
  FORWARDED_APPLY(64, ForwardedApply.class),
  /** Control member to every connected process: the leader and the control members. */
  LEADER_NOTICE(80, LeaderNotice.class),
  /** Entry to leader: a job to run. */
  SUBMIT_JOB(81, SubmitJob.class),
  /** Entry to leader: request for the state of a job. */
  ASK_JOB(82, AskJob.class),
  /** Entry to leader: a job to cancel. */
  CANCEL_JOB(83, CancelJob.class),
  /** Process that serves operators to leader: an operator's configuration. */
  STORE_CONFIGURATION(84, StoreConfiguration.class),
  /** Process that serves operators to leader: request for the configuration in force. */
  ASK_QUEUE_CONFIGURATION(85, AskQueueConfiguration.class),
  /**
   * Process that serves operators to leader: a failure domain to take out of service or to return
   * to service.
   */
  SWITCH_DOMAIN(86, SwitchDomain.class),
  /**
   * Answer to a request to the leader; a control member that is not the leader refuses the request.
   */
  LEADER_REPLY(87, LeaderReply.class),
  /**
   * Process that serves operators to leader: a failure domain to take out of service or to return
   * to service, unless the leader has taken another order for the domain since.
   */
  SWITCH_DOMAIN_SINCE(88, SwitchDomainSince.class),
  /** Agent to leader: the state of the agent's minion and of the minion's runs. */
  AGENT_REPORT(90, AgentReport.class),
  /** Leader to agent: the lease that permits runs, in answer to a report. */
  AGENT_LEASE(91, AgentLease.class),
  /** Leader to agent: runs to start and to stop. */
  RUN_ORDERS(92, RunOrders.class),
  /** Entry to control member: the entry can act as a fallback dispatcher. */
  FALLBACK_OFFER(100, FallbackOffer.class),
  /** Leader to every connected process: the fallback dispatchers. */
  FALLBACK_DIRECTORY(101, FallbackDirectory.class),
  /** Leader to fallback dispatcher: the state that it dispatches by without a leader. */
  FALLBACK_STATE(102, FallbackState.class),
  /** Entry to fallback dispatcher: a job that was sent to no other process. */
  FALLBACK_SUBMIT(103, FallbackSubmit.class),
  /** Entry to leader: a job that was sent to another dispatcher before. */
  RESUBMIT_JOB(104, ResubmitJob.class),
  /** Dispatcher to entry: request for the jobs that callers wait for. */
  CALLER_PROBE(105, CallerProbe.class),
  /** Entry to dispatcher: the jobs that callers wait for. */
  AWAITED_JOBS(106, AwaitedJobs.class),
  /** Entry to leader: a job whose caller waits. */
  AWAITED_SUBMIT(107, AwaitedSubmit.class);

  private static final Map<Class<?>, MessageType> BY_CLASS = new HashMap<>();
  private static final Map<Integer, MessageType> BY_NUMBER = new HashMap<>();

  static {
    for (MessageType t : values()) {
      BY_CLASS.put(t.messageClass, t);
      BY_NUMBER.put(t.number, t);
    }
  }

  private final int number;
  private final Class<? extends Message> messageClass;

  MessageType(int number, Class<? extends Message> messageClass) {
    this.number = number;
    this.messageClass = messageClass;
  }

  /** Returns the number that identifies this type on the wire. */
  public int number() {
    return number;
  }

  /** Returns the record class of the messages of this type. */
  public Class<? extends Message> messageClass() {
    return messageClass;
  }

  /** Returns the type of a message, or null if no type has the class of the message. */
  static @Nullable MessageType of(Message message) {
    return BY_CLASS.get(message.getClass());
  }

  /** Returns the type with the given number on the wire, or null if there is none. */
  static @Nullable MessageType of(int number) {
    return BY_NUMBER.get(number);
  }
}
