package org.cassiastack.bench.faults;

import java.time.Duration;
import java.util.Map;
import org.cassiastack.model.ResultCode;

/**
 * Result of a fault-injection trial.
 *
 * @param answers number of jobs by the code of the first answer other than NO_MINION; after an
 *     answer NO_MINION the job is submitted again
 * @param unanswered jobs without any answer other than NO_MINION
 * @param partialAnswers complete answers that lack the output of a task or hold a wrong output
 * @param refusals answers that say that the job has not run, including those after which the job
 *     was submitted again
 * @param falseRefusals refusals given when a task of the job had already started, plus jobs whose
 *     answer in {@code answers} is a refusal although a task had started by the end of the trial
 * @param changedAnswers jobs whose second answer neither equals the first nor says that the outcome
 *     is no longer known
 * @param starts tasks that started at least once
 * @param doubleStarts tasks that started more than once
 * @param entryKills kills of the entry
 * @param agentKills kills of agents
 * @param freezes pauses of agents
 * @param time duration of the trial
 * @since 0.1
 */
public record TrialReport(
    Map<ResultCode, Integer> answers,
    int unanswered,
    int partialAnswers,
    int refusals,
    int falseRefusals,
    int changedAnswers,
    int starts,
    int doubleStarts,
    int entryKills,
    int agentKills,
    int freezes,
    Duration time) {}
