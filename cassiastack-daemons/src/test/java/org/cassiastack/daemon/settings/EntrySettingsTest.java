package org.cassiastack.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EntrySettingsTest {
  @TempDir private Path folder;

  @Test
  void reads_the_control_members_in_order() throws Exception {
    EntrySettings settings = read("entry-2@127.0.0.1:7102, entry-1@127.0.0.1:7002");

    assertThat(settings.memberAddresses().keySet())
        .containsExactly(new NodeId("entry-2"), new NodeId("entry-1"));
    assertThat(settings.memberAddresses().values())
        .extracting(a -> a.getPort())
        .containsExactly(7102, 7002);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "entry-1",
        "@127.0.0.1:7002",
        "entry-1@127.0.0.1",
        "entry-1@127.0.0.1:0",
        "entry-1@127.0.0.1:7002, entry-1@127.0.0.1:7102"
      })
  void refuses_control_members_that_are_malformed_or_listed_twice(String members) {
    CassiaException e = catchThrowableOfType(CassiaException.class, () -> read(members));

    assertThat(e.refusal().code()).isEqualTo(ResultCode.INVALID_SETTINGS);
    assertThat(e).hasMessageContaining("[control]").hasMessageContaining("'members'");
  }

  @Test
  void requires_neither_a_configuration_folder_nor_control_members() throws Exception {
    Path file = Files.writeString(folder.resolve("entry.ini"), "[node]\nname = entry-1\n");

    EntrySettings settings = EntrySettings.read(file);

    assertThat(settings.configurationFolder()).isNull();
    assertThat(settings.memberAddresses()).isEmpty();
  }

  @Test
  void refuses_several_control_members_without_a_data_folder() {
    CassiaException e =
        catchThrowableOfType(
            CassiaException.class,
            () -> read("entry-1@127.0.0.1:7002, entry-2@127.0.0.1:7102", ""));

    assertThat(e.refusal().code()).isEqualTo(ResultCode.INVALID_SETTINGS);
    assertThat(e).hasMessageContaining("[control]").hasMessageContaining("'folder'");
  }

  private EntrySettings read(String members) throws IOException, CassiaException {
    return read(members, "folder = data\n");
  }

  private EntrySettings read(String members, String dataFolderLine)
      throws IOException, CassiaException {
    String text = "[node]\nname = entry-1\n[control]\nmembers = " + members + "\n" + dataFolderLine;
    return EntrySettings.read(Files.writeString(folder.resolve("entry.ini"), text));
  }
}
