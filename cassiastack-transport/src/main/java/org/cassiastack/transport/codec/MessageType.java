package org.cassiastack.transport.codec;

import java.util.HashMap;
import java.util.Map;
import org.cassiastack.consensus.AppendReply;
import org.cassiastack.consensus.AppendRequest;
import org.cassiastack.consensus.InstallSnapshot;
import org.cassiastack.consensus.LeadershipReleased;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.VoteReply;
import org.cassiastack.consensus.VoteRequest;
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
import org.cassiastack.request.CancelJob;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.request.SwitchDomain;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.RunOrders;
import org.jspecify.annotations.Nullable;

/**
 * Numbers of the message types on the wire. A number is never given to another type.
 *
 * @since 0.1
 */
public enum MessageType {
  /** First message of each connection. */
  HELLO(1, Hello.class),
  /** Sent on an idle connection. */
  PING(2, Ping.class),
  /** Agent to entry. */
  ANNOUNCE(10, Announce.class),
  /** Entry to agent. */
  WELCOME(11, Welcome.class),
  /** Coordinator to agent. */
  DISPATCH(20, Dispatch.class),
  /** Agent to coordinator. */
  TASK_ENDED(21, TaskEnded.class),
  /** Agent to coordinator. */
  TASK_NOT_STARTED(22, TaskNotStarted.class),
  /** Coordinator to agent. */
  CANCEL_TASKS(23, CancelTasks.class),
  /** Candidate to control member. */
  VOTE_REQUEST(40, VoteRequest.class),
  /** Control member to candidate. */
  VOTE_REPLY(41, VoteReply.class),
  /** Leader to control member. */
  APPEND_REQUEST(42, AppendRequest.class),
  /** Control member to leader. */
  APPEND_REPLY(43, AppendReply.class),
  /** Leader to control member. */
  INSTALL_SNAPSHOT(44, InstallSnapshot.class),
  /** Between control members. */
  MEMBER_GREETING(45, MemberGreeting.class),
  /** Former leader to control member. */
  LEADERSHIP_RELEASED(46, LeadershipReleased.class),
  /** Any process to one that may hold a newer configuration. */
  ASK_CONFIGURATION(60, AskConfiguration.class),
  /** Answer to the question. */
  CONFIGURATION_AGE(61, ConfigurationAge.class),
  /** To whoever asked before, at each newer revision. */
  CONFIGURATION_UPDATE(62, ConfigurationUpdate.class),
  /** Entry to control member. */
  FORWARD_APPLY(63, ForwardApply.class),
  /** Control member to entry. */
  FORWARDED_APPLY(64, ForwardedApply.class),
  /** Control member to every connected process. */
  LEADER_NOTICE(80, LeaderNotice.class),
  /** Entry to leader. */
  SUBMIT_JOB(81, SubmitJob.class),
  /** Entry to leader. */
  ASK_JOB(82, AskJob.class),
  /** Entry to leader. */
  CANCEL_JOB(83, CancelJob.class),
  /** Control member to leader. */
  STORE_CONFIGURATION(84, StoreConfiguration.class),
  /** Control member to leader. */
  ASK_QUEUE_CONFIGURATION(85, AskQueueConfiguration.class),
  /** Control member to leader. */
  SWITCH_DOMAIN(86, SwitchDomain.class),
  /** Leader to whoever asked. */
  LEADER_REPLY(87, LeaderReply.class),
  /** Agent to leader. */
  AGENT_REPORT(90, AgentReport.class),
  /** Leader to agent. */
  AGENT_LEASE(91, AgentLease.class),
  /** Leader to agent. */
  RUN_ORDERS(92, RunOrders.class);

  private static final Map<Class<?>, MessageType> BY_TYPE = new HashMap<>();
  private static final Map<Integer, MessageType> BY_NUMBER = new HashMap<>();

  static {
    for (MessageType t : values()) {
      BY_TYPE.put(t.messageClass, t);
      BY_NUMBER.put(t.number, t);
    }
  }

  private final int number;
  private final Class<? extends Message> messageClass;

  MessageType(int number, Class<? extends Message> type) {
    this.number = number;
    this.messageClass = type;
  }

  /** Returns the number on the wire. */
  public int number() {
    return number;
  }

  /** Returns the record that the number stands for. */
  public Class<? extends Message> messageClass() {
    return messageClass;
  }

  /** Returns the type of a message, or null when it is not registered. */
  static @Nullable MessageType of(Message message) {
    return BY_TYPE.get(message.getClass());
  }

  /** Returns the type that a number on the wire stands for, or null. */
  static @Nullable MessageType of(int number) {
    return BY_NUMBER.get(number);
  }
}
