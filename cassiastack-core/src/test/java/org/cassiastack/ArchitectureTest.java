package org.cassiastack;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import org.cassiastack.controller.TimeSource;

@AnalyzeClasses(packages = "org.cassiastack", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  @ArchTest
  static final ArchRule the_library_does_not_depend_on_transport_or_codec =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty..", "reactor.netty..", "com.fasterxml..", "org.msgpack..", "java.net..");

  @ArchTest
  static final ArchRule only_time_sources_read_a_clock =
      noClasses()
          .that()
          .areNotAssignableTo(TimeSource.class)
          .should()
          .callMethod(Instant.class, "now")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Clock.class);

  @ArchTest
  static final ArchRule packages_have_no_dependency_cycles =
      slices().matching("org.cassiastack.(*)..").should().beFreeOfCycles();
}
