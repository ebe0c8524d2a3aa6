package review3;

/**
 * The whole system starts for the first time. One control process is killed before it is ready, and
 * started again 1 s later, not as part of a first start. The operator's first configuration must be
 * acknowledged.
 */
final class FirstStartCase implements CaseMain.Case {
  private static final long CPU_PER_MINION = 32_000;

  /** Time without any disruption after which the core counts as stable (ContactMs). */
  private static final double CONTACT_SECONDS = 3;

  /** Time within which an order has to be acknowledged then (AckMs, and 3 ms for the route). */
  private static final double ACK_SECONDS = 4.003;

  private static final double WATCHED_SECONDS = 45;

  @Override
  public boolean run(Rig rig, boolean trouble) throws Exception {
    rig.startAll(CPU_PER_MINION);
    if (trouble) {
      Rig.sleep(200);
      Rig.Machine first = rig.edges.get(0);
      first.signal("control", "KILL");
      Rig.sleep(1_000);
      first.start("control", false);
    }
    double calm = rig.record.seconds();
    String body = Rig.configuration(1, 2);
    int calls = 0;
    double pause = 200;
    while (rig.record.seconds() < calm + WATCHED_SECONDS) {
      Rig.Machine m = rig.edges.get(calls++ % rig.edges.size());
      Rig.Answer a = rig.call("PUT", rig.control(m) + "/config", "", body, 1_000);
      double after = rig.record.seconds() - calm;
      if (calls < 20 || a.status == 200 || calls % 20 == 0) {
        rig.record.add("PUT /config version 1 at %s -> %d %s", m.name, a.status, a.body);
      }
      if (a.status == 200) {
        rig.record.add("acknowledged %.2f s after the last start", after);
        return after > CONTACT_SECONDS + ACK_SECONDS;
      }
      Rig.sleep((long) pause);
      pause = Math.min(2_000, pause * 1.2);
    }
    for (Rig.Machine m : rig.edges) {
      Process control = m.processes.get("control");
      rig.record.add("%s control runs: %s", m.name, control.isAlive());
      rig.record.add("GET /ready at %s -> %d", m.name, rig.call("GET", rig.ready(m), "", "", 900).status);
    }
    rig.record.add(
        "Acks broken: %d calls within %.0f s, none acknowledged, with nothing disrupted since then",
        calls, WATCHED_SECONDS);
    return true;
  }
}
