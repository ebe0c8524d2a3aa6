package org.cassiastack.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationFilesTest {
  private static final String VALID_CONFIGURATION =
      """
      [failure-domain north]
      region = steppe
      state = in
      [failure-domain south]
      [service ice]
      expected-run-time = 250ms
      [customer ayaz]
      tasks-per-second = 500
      """;

  @ParameterizedTest
  @CsvSource({
    "failure-domain north, state, gone, in or out",
    "failure-domain north, colour, blue, 'no value, because the key is unknown'",
    "service ice, expected-run-time, 5 minutes, a duration such as 250ms or 5s",
    "customer ayaz, tasks-per-second, many, a whole number from 0 to",
    "customer ayaz, concurrent-tasks, -1, a whole number from 0 to",
    "minion m1, slots, 8, 'no value, because the key is unknown'"
  })
  void a_refusal_names_the_file_section_key_value_and_allowed_values(
      String section, String key, String value, String allowed) {
    String message = refusalMessage("[%s]%n%s = %s%n".formatted(section, key, value));

    assertThat(message)
        .contains("a.ini", "[" + section + "]", "'" + key + "'", "'" + value + "'", allowed);
  }

  @Test
  void refuses_a_section_that_two_files_declare() {
    Map<String, String> files = Map.of("a.ini", "[service ice]\n", "b.ini", "[service ice]\n");

    CassiaException e =
        catchThrowableOfType(
            CassiaException.class,
            () -> ConfigurationFiles.parse(new TreeMap<>(files), Revision.NONE));

    assertThat(e.refusal().code()).isEqualTo(ResultCode.INVALID_CONFIGURATION);
    assertThat(e).hasMessageContaining("b.ini").hasMessageContaining("[service ice]");
  }

  @Test
  void parses_a_formatted_configuration_to_an_equal_one() throws Exception {
    Configuration c = parse(VALID_CONFIGURATION);

    assertThat(parse(ConfigurationText.write(c))).isEqualTo(c);
  }

  @Test
  void changes_the_state_of_one_failure_domain_and_nothing_else() throws Exception {
    String text = ConfigurationText.write(parse(VALID_CONFIGURATION));

    String drained = ConfigurationText.withDomainState(text, new FailureDomain("north"), false);

    assertThat(parse(drained).allowsStartsIn(new FailureDomain("north"))).isFalse();
    assertThat(ConfigurationText.withDomainState(drained, new FailureDomain("north"), true))
        .isEqualTo(text);
  }

  private static Configuration parse(String text) throws CassiaException {
    return ConfigurationFiles.parse(new TreeMap<>(Map.of("a.ini", text)), Revision.NONE);
  }

  private static String refusalMessage(String text) {
    CassiaException e = catchThrowableOfType(CassiaException.class, () -> parse(text));
    assertThat(e.refusal().code()).isEqualTo(ResultCode.INVALID_CONFIGURATION);
    return e.refusal().message();
  }
}
