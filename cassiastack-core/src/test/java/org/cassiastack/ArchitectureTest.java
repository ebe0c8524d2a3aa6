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
  static final ArchRule the_library_knows_no_transport_and_no_codec =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty..", "reactor.netty..", "com.fasterxml..", "org.msgpack..", "java.net..");

  @ArchTest
  static final ArchRule deciding_code_reads_no_clock =
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
  static final ArchRule packages_form_no_circle =
      slices().matching("org.cassiastack.(*)..").should().beFreeOfCycles();
}
