package org.cassiastack.bench.faults;

import java.time.Duration;
import java.util.Map;
import org.cassiastack.model.ResultCode;

/**
 * Result of a fault-injection trial.
 *
 * @param answers number of jobs by the code of their first answer; answers NO_MINION are left out,
 *     since such a job is submitted again
 * @param unanswered jobs without any answer
 * @param partialAnswers complete answers that lack the result of a task or hold a wrong result
 * @param refusals answers that say that the job has not run, including those after which the job
 *     was submitted again
 * @param falseRefusals refusals of jobs of which a task had started
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
