package org.cassiastack.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.cassiastack.bench.faults.FaultTrial;
import org.cassiastack.bench.faults.LocalProcesses;
import org.cassiastack.bench.faults.TrialReport;
import org.cassiastack.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against double starts and false answers when agents are paused and killed under load. The
 * cycle of four faults also kills the entry.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ProcessFaultsTest {
  private static final int JOB_COUNT = 60;
  private static final int FAULT_COUNT = 4;
  private static final Duration FAULT_INTERVAL = Duration.ofMillis(400);

  @TempDir private Path folder;

  @Test
  void starts_no_task_twice_and_gives_no_false_answer_while_processes_are_killed_and_paused()
      throws Exception {
    try (LocalProcesses processes = LocalProcesses.start(folder, 3)) {
      TrialReport report =
          FaultTrial.create(processes, 20261204).run(JOB_COUNT, FAULT_COUNT, FAULT_INTERVAL);

      assertThat(report.doubleStarts()).isZero();
      assertThat(report.partialAnswers()).isZero();
      assertThat(report.falseRefusals()).isZero();
      assertThat(report.changedAnswers()).isZero();
      assertThat(report.unanswered()).isZero();
      assertThat(report.answers()).containsKey(ResultCode.COMPLETE);
      assertThat(report.freezes()).isPositive();
      assertThat(report.agentKills()).isPositive();
    }
  }
}
