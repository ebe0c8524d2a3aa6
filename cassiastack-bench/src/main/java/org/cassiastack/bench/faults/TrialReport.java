package org.cassiastack.bench.faults;

import java.time.Duration;
import java.util.Map;
import org.cassiastack.model.ResultCode;

/**
 * What a trial showed.
 *
 * @param answers number of jobs by the code of their first answer other than for want of minions
 * @param unanswered jobs without any answer
 * @param partialAnswers complete answers that lacked a result or held a wrong one
 * @param refusals answers that said not run, those that were followed by another try included
 * @param falseRefusals such answers to jobs of which a task had started
 * @param changedAnswers jobs whose second answer neither was the first nor said that it was
 *     forgotten
 * @param starts tasks that started
 * @param doubleStarts tasks that started more than once
 * @param entryKills kills of the entry
 * @param agentKills kills of agents
 * @param freezes freezes of agents
 * @param time length of the trial
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
