package review3;

import java.nio.file.Path;

/** Runs one case: its name, the folder of the repository and the folder of the case. */
public final class CaseMain {
  /** A case. Returns whether the rule was broken. */
  interface Case {
    boolean run(Rig rig, boolean trouble) throws Exception;
  }

  /** Minions of the sheet of Ayaz. */
  private static final int MINIONS = 11;

  private CaseMain() {}

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[1]).toAbsolutePath().normalize();
    Record record = new Record(Path.of(arguments[2]).resolve("record.txt"));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    record.add("case %s, trouble=%s", arguments[0], trouble);
    int status = Rig.COULD_NOT_RUN;
    try (Rig rig = new Rig(repository, record, MINIONS)) {
      boolean broken = find(arguments[0]).run(rig, trouble);
      status = broken ? Rig.BROKEN : Rig.HELD;
    } catch (Exception e) {
      record.add("could not run: %s", e);
    }
    record.add("exit %d", status);
    Runtime.getRuntime().halt(status);
  }

  private static Case find(String name) {
    return switch (name) {
      case "first-start" -> new FirstStartCase();
      case "refusing" -> new RefusingMinionCase();
      case "unsized" -> new UnsizedCase();
      default -> throw new IllegalArgumentException("no case is named " + name);
    };
  }
}
