package org.cassiastack.schedule;

import java.util.EnumMap;
import java.util.Map;
import org.cassiastack.request.AnswerCode;

/** Counts of submitted jobs and of their answers. */
final class AnswerCounts {
  private final Map<AnswerCode, Integer> answers = new EnumMap<>(AnswerCode.class);
  private int submittedJobs;
  private int jobsOnTime;
  private int unansweredUnstartedJobs;

  void onSubmitted() {
    submittedJobs++;
  }

  /** Counts the answer to a job. */
  void add(AnswerCode code, boolean started, boolean onTime) {
    answers.merge(code, 1, Integer::sum);
    unansweredUnstartedJobs += code == AnswerCode.UNANSWERED && !started ? 1 : 0;
    jobsOnTime += code == AnswerCode.ACCEPTED && onTime ? 1 : 0;
  }

  /** Returns the share of the submitted jobs that were completed within their objective. */
  double onTimeShare() {
    return (double) jobsOnTime / submittedJobs;
  }

  /** Returns the number of jobs that were answered with a code. */
  int answers(AnswerCode code) {
    return answers.getOrDefault(code, 0);
  }

  /** Returns the number of callers that got no answer from the leader although no task started. */
  int unansweredUnstartedJobs() {
    return unansweredUnstartedJobs;
  }

  void reset() {
    submittedJobs = 0;
    jobsOnTime = 0;
    unansweredUnstartedJobs = 0;
    answers.clear();
  }
}
