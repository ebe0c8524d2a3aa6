package org.cassiastack.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.junit.jupiter.api.Test;

class QueueConfigurationTest {
  private final QueueConfiguration configuration =
      new QueueConfiguration(
          1, List.of(queue("a", "/ice/"), queue("b", "/ice/now/")), Payload.EMPTY);

  @Test
  void finds_the_queue_with_the_longest_matching_prefix() {
    assertThat(configuration.find("h.example", "/ice/now/1")).extracting("name").isEqualTo("b");
    assertThat(configuration.find("h.example", "/ice/1")).extracting("name").isEqualTo("a");
  }

  @Test
  void finds_no_queue_for_another_host_or_path() {
    assertThat(configuration.find("other.example", "/ice/1")).isNull();
    assertThat(configuration.find("h.example", "/frost/1")).isNull();
  }

  private static Queue queue(String name, String prefix) {
    ServiceName service = new ServiceName("ice");
    return new Queue(name, "h.example", prefix, service, 0, 1, 1, Duration.ZERO);
  }
}
