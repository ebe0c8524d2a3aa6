package review2;

/**
 * One control process is killed half a second after the first start of all processes, and is
 * started again. The system never takes a configuration.
 */
public final class KilledAtFirstStart {
  private static final int KILLED_AFTER_MILLIS = 500;
  private static final int RESTART_MILLIS = 300;
  private static final double WAIT_SECONDS = 60;
  private static final int CONTACT_SECONDS = 4;

  private KilledAtFirstStart() {}

  public static void main(String[] arguments) throws Exception {
    Scenario.main(arguments, KilledAtFirstStart::play);
  }

  private static boolean play(Scenario s, boolean trouble) throws Exception {
    s.startProcesses(1, 2, -1);
    Deployment.Machine machine = s.controls.get(0);
    if (trouble) {
      Scenario.sleep(KILLED_AFTER_MILLIS);
      s.controlProcesses.get(0).destroyForcibly().waitFor();
      s.record.line("KILL control on %s", machine.ip());
      Scenario.sleep(RESTART_MILLIS);
      s.deployment.start("control", machine, false);
    }
    double until = s.record.now() + WAIT_SECONDS;
    boolean acknowledged = false;
    for (int i = 0; !acknowledged && s.record.now() < until; i++) {
      acknowledged = s.putConfiguration(1, s.controls.get(i % 3));
      Scenario.sleep(1_000);
    }
    Scenario.sleep(4_000);
    boolean read = false;
    for (int i = 0; i < CONTACT_SECONDS; i++) {
      read |= s.readConfiguration(s.controls.get(i % 3));
      Scenario.sleep(1_000);
    }
    String job = s.newJobId();
    String body = Scenario.chain(false, 1_000, 100);
    s.client(s.edges.get(0), "POST", job, body, 1_500);
    return !read;
  }
}
