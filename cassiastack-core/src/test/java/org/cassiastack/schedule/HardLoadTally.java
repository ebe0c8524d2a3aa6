package org.cassiastack.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;

/** What became of the jobs of a {@link HardLoadPlay}, by kind, width and failure domain. */
final class HardLoadTally {
  private static final double LATE_WORTH = 0.2;
  private static final double MIN_WEIGHT = 0.3;
  private static final double LARGEST = 0.1;
  private static final double LARGE = 0.3;

  /** A job that is refused after this time was not refused at its arrival. */
  private static final Duration ARRIVAL = Duration.ofMillis(20);

  private final HardLoad load;
  private final List<Entry> entries = new ArrayList<>();

  private HardLoadTally(HardLoad load) {
    this.load = load;
  }

  static HardLoadTally create(HardLoad load) {
    return new HardLoadTally(load);
  }

  /** Adds a job of the given size relative to the mean of its kind. */
  Entry add(int kind, int domain, double size) {
    Entry e = new Entry(kind, domain, size);
    entries.add(e);
    return e;
  }

  void addAll(HardLoadTally other) {
    entries.addAll(other.entries);
  }

  /** Returns the weighted share of an outcome among the jobs that a condition selects. */
  double share(Outcome outcome, Predicate<Entry> selected) {
    double all = 0;
    double some = 0;
    for (Entry e : entries) {
      if (selected.test(e)) {
        all += e.weight();
        some += e.outcome == outcome ? e.weight() : 0;
      }
    }
    return all == 0 ? 0 : some / all;
  }

  double worth(Predicate<Entry> selected) {
    return share(Outcome.ON_TIME, selected) + LATE_WORTH * share(Outcome.LATE, selected);
  }

  double worthOfKind(int kind) {
    return worth(e -> e.kind == kind);
  }

  double onTimeOfKind(int kind) {
    return share(Outcome.ON_TIME, e -> e.kind == kind);
  }

  double worthOfDomain(int domain) {
    return worth(e -> e.domain == domain);
  }

  double worstKind() {
    double worst = 1;
    for (int k = 0; k < load.kinds().size(); k++) {
      worst = Math.min(worst, worthOfKind(k));
    }
    return worst;
  }

  double worstDomain() {
    double worst = 1;
    for (int d = 0; d < load.domains(); d++) {
      worst = Math.min(worst, worthOfDomain(d));
    }
    return worst;
  }

  /** Returns the weighted sum of the whole, the worst kind and the worst domain. */
  double measure() {
    List<Double> w = load.weights();
    return w.get(0) * worth(e -> true) + w.get(1) * worstKind() + w.get(2) * worstDomain();
  }

  /** Returns one line for each kind, class of width and domain. */
  String report(String title) {
    StringBuilder text = new StringBuilder();
    text.append(String.format(Locale.ROOT, "%s measure=%.3f%n", title, measure()));
    line(text, "whole", e -> true);
    for (int k = 0; k < load.kinds().size(); k++) {
      int kind = k;
      line(text, "kind" + k, e -> e.kind == kind);
      double largest = size(kind, LARGEST);
      double large = size(kind, LARGE);
      line(text, "kind" + k + " largest", e -> e.kind == kind && e.size > largest);
      line(text, "kind" + k + " large", e -> e.kind == kind && e.size > large && e.size <= largest);
    }
    for (int d = 0; d < load.domains(); d++) {
      int domain = d;
      line(text, "domain" + d, e -> e.domain == domain);
    }
    return text.toString();
  }

  /** Returns the size that a share of the jobs of a kind exceeds. */
  private double size(int kind, double share) {
    List<Double> sizes =
        entries.stream()
            .filter(e -> e.kind == kind)
            .map(e -> e.size)
            .sorted(Comparator.reverseOrder())
            .toList();
    return sizes.isEmpty() ? 0 : sizes.get((int) (share * sizes.size()));
  }

  private void line(StringBuilder text, String name, Predicate<Entry> selected) {
    Predicate<Entry> atArrival = e -> e.taken.compareTo(ARRIVAL) <= 0;
    text.append(
        String.format(
            Locale.ROOT,
            "  %-14s worth=%.3f on_time=%.3f late=%.3f useless=%.3f refused=%.3f"
                + " refused_later=%.3f held=%.3f%n",
            name,
            worth(selected),
            share(Outcome.ON_TIME, selected),
            share(Outcome.LATE, selected),
            share(Outcome.USELESS, selected),
            share(Outcome.REFUSED, selected),
            share(Outcome.REFUSED, selected)
                - shareOf(selected, atArrival.and(e -> e.outcome == Outcome.REFUSED)),
            share(Outcome.HELD, selected)));
  }

  private double shareOf(Predicate<Entry> selected, Predicate<Entry> counted) {
    double all = 0;
    double some = 0;
    for (Entry e : entries) {
      if (selected.test(e)) {
        all += e.weight();
        some += counted.test(e) ? e.weight() : 0;
      }
    }
    return all == 0 ? 0 : some / all;
  }

  /** What a caller gets. */
  enum Outcome {
    ON_TIME,
    LATE,
    /** Ended after three times the objective. */
    USELESS,
    REFUSED,
    /** Not answered before the caller's timeout. */
    HELD
  }

  /** A job; one that is never answered counts as held. */
  static final class Entry {
    final int kind;
    final int domain;
    final double size;
    private Outcome outcome = Outcome.HELD;
    private Duration taken = Duration.ofDays(1);

    private Entry(int kind, int domain, double size) {
      this.kind = kind;
      this.domain = domain;
      this.size = size;
    }

    void end(Outcome result, Duration time) {
      outcome = result;
      taken = time;
    }

    private double weight() {
      return MIN_WEIGHT + (1 - MIN_WEIGHT) * size;
    }
  }
}
