package org.cassiastack.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;

class ConfigurationStoreProperties {
  private static final String SEED = "20261204";

  @Property(seed = SEED)
  void decides_as_a_naive_map_of_all_changes_does(
      @ForAll("commands") List<ConfigurationCommand> commands) {
    ConfigurationStore store = ConfigurationStore.create();
    NaiveStore naive = new NaiveStore();

    for (ConfigurationCommand c : commands) {
      assertThat(store.apply(c)).isEqualTo(naive.apply(c));
      assertThat(store.inForce()).isEqualTo(naive.inForce);
    }
  }

  @Property(seed = SEED)
  void decides_alike_after_a_snapshot_at_any_point(
      @ForAll("commands") List<ConfigurationCommand> before,
      @ForAll("commands") List<ConfigurationCommand> after) {
    ConfigurationStore whole = ConfigurationStore.create();
    before.forEach(whole::apply);
    ConfigurationStore restored = ConfigurationStore.create();
    restored.restore(whole.state());

    for (ConfigurationCommand c : after) {
      assertThat(restored.apply(c)).isEqualTo(whole.apply(c));
    }
    assertThat(restored.state()).isEqualTo(whole.state());
  }

  @Property(seed = SEED)
  void accepts_one_change_at_most_on_each_base_and_never_goes_back(
      @ForAll("commands") List<ConfigurationCommand> commands) {
    ConfigurationStore store = ConfigurationStore.create();

    long last = 0;
    for (ConfigurationCommand c : commands) {
      store.apply(c);
      long revision = store.inForce().revision().value();
      assertThat(revision - last).isBetween(0L, 1L);
      last = revision;
    }
  }

  @Property(seed = SEED)
  void a_forgotten_change_that_comes_again_changes_nothing(
      @ForAll("commands") List<ConfigurationCommand> commands) {
    ConfigurationStore store = ConfigurationStore.withCapacity(1);

    for (ConfigurationCommand c : commands) {
      ApplyResult first = store.apply(c);
      Configuration inForce = store.inForce();
      store.apply(new ConfigurationCommand(new ChangeId(new UUID(9, 9)), NEVER, c.content()));
      if (first.code() == ResultCode.ACCEPTED) {
        assertThat(store.apply(c).code()).isEqualTo(ResultCode.STALE_BASE);
        assertThat(store.inForce()).isEqualTo(inForce);
      }
    }
  }

  private static final Revision NEVER = new Revision(Long.MAX_VALUE);

  @Provide
  Arbitrary<List<ConfigurationCommand>> commands() {
    Arbitrary<Long> ids = Arbitraries.longs().between(1, 12);
    Arbitrary<Long> bases = Arbitraries.longs().between(0, 8);
    Arbitrary<Integer> contents = Arbitraries.integers().between(1, 3);
    return Combinators.combine(ids, bases, contents)
        .as(
            (id, base, content) ->
                new ConfigurationCommand(
                    new ChangeId(new UUID(0, id)),
                    new Revision(base),
                    Configurations.numbered(content)))
        .list()
        .ofMaxSize(60);
  }

  /** Remembers every change for good. */
  private static final class NaiveStore {
    private final Map<ChangeId, ConfigurationCommand> commands = new HashMap<>();
    private final Map<ChangeId, ApplyResult> results = new HashMap<>();
    private Configuration inForce = Configuration.EMPTY;

    ApplyResult apply(ConfigurationCommand c) {
      ConfigurationCommand known = commands.get(c.changeId());
      if (known != null) {
        return known.content().equals(c.content())
            ? results.get(c.changeId())
            : new ApplyResult(ResultCode.CHANGE_ID_REUSED, inForce.revision());
      }
      ResultCode code = ResultCode.STALE_BASE;
      if (c.base().equals(inForce.revision())) {
        code = ResultCode.ACCEPTED;
        inForce = c.content().withRevision(inForce.revision().next());
      }
      ApplyResult result = new ApplyResult(code, inForce.revision());
      commands.put(c.changeId(), c);
      results.put(c.changeId(), result);
      return result;
    }
  }
}
