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
  void decides_like_a_reference_store_that_retains_all_decisions(
      @ForAll("commands") List<ConfigurationCommand> commands) {
    ConfigurationStore store = ConfigurationStore.create();
    ReferenceStore reference = new ReferenceStore();

    for (ConfigurationCommand c : commands) {
      assertThat(store.apply(c)).isEqualTo(reference.apply(c));
      assertThat(store.inForce()).isEqualTo(reference.inForce);
    }
  }

  @Property(seed = SEED)
  void decides_the_same_after_a_snapshot_at_any_point(
      @ForAll("commands") List<ConfigurationCommand> before,
      @ForAll("commands") List<ConfigurationCommand> after) {
    ConfigurationStore original = ConfigurationStore.create();
    before.forEach(original::apply);
    ConfigurationStore restored = ConfigurationStore.create();
    restored.restore(original.state());

    for (ConfigurationCommand c : after) {
      assertThat(restored.apply(c)).isEqualTo(original.apply(c));
    }
    assertThat(restored.state()).isEqualTo(original.state());
  }

  @Property(seed = SEED)
  void each_command_raises_the_revision_by_at_most_one_and_never_lowers_it(
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
  void an_accepted_change_whose_decision_was_dropped_is_stale_when_submitted_again(
      @ForAll("commands") List<ConfigurationCommand> commands) {
    ConfigurationStore store = ConfigurationStore.withCapacity(1);

    for (ConfigurationCommand c : commands) {
      ApplyResult first = store.apply(c);
      Configuration inForce = store.inForce();
      store.apply(
          new ConfigurationCommand(new ChangeId(new UUID(9, 9)), UNREACHABLE_BASE, c.content()));
      if (first.code() == ResultCode.ACCEPTED) {
        assertThat(store.apply(c).code()).isEqualTo(ResultCode.STALE_BASE);
        assertThat(store.inForce()).isEqualTo(inForce);
      }
    }
  }

  private static final Revision UNREACHABLE_BASE = new Revision(Long.MAX_VALUE);

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

  /** Makes the same decisions as {@link ConfigurationStore} but retains all of them. */
  private static final class ReferenceStore {
    private final Map<ChangeId, ConfigurationCommand> commands = new HashMap<>();
    private final Map<ChangeId, ApplyResult> results = new HashMap<>();
    private Configuration inForce = Configuration.EMPTY;

    ApplyResult apply(ConfigurationCommand c) {
      ConfigurationCommand previous = commands.get(c.changeId());
      if (previous != null) {
        return previous.content().equals(c.content())
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
