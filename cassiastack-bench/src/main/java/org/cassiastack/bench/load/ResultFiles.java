package org.cassiastack.bench.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cassiastack.bench.load.LoadResult.Point;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Writes the result of a load run as JSON, and the timeline of the result as CSV and as a PNG
 * chart. Reads a result from the JSON file.
 */
final class ResultFiles {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final ObjectWriter WRITER = MAPPER.writerWithDefaultPrettyPrinter();
  private static final int WIDTH_PIXELS = 1_000;
  private static final int HEIGHT_PIXELS = 600;

  private ResultFiles() {}

  /**
   * Writes NAME.json, NAME.csv and NAME.png into a folder, which is created if necessary. NAME is
   * the name of the run. Without any point in the timeline, NAME.png is not written.
   */
  static void write(LoadResult result, Path folder) throws CassiaException {
    try {
      Files.createDirectories(folder);
      WRITER.writeValue(folder.resolve(result.name() + ".json").toFile(), result);
      Files.writeString(folder.resolve(result.name() + ".csv"), csv(result));
      plot(result, folder.resolve(result.name() + ".png"));
    } catch (IOException e) {
      throw CassiaException.of(
          Refusals.malformed("folder " + folder + " cannot be written: " + e.getMessage()));
    }
  }

  static LoadResult read(Path json) throws CassiaException {
    try {
      return MAPPER.readValue(json.toFile(), LoadResult.class);
    } catch (IOException e) {
      throw CassiaException.of(
          Refusals.malformed(
              "file " + json + " does not hold a result of 'load': " + e.getMessage()));
    }
  }

  static String csv(LoadResult result) {
    StringBuilder csv = new StringBuilder("second,arrived,answered,tasks_started,p50,p99\n");
    for (Point point : result.timeline()) {
      csv.append(point.second())
          .append(',')
          .append(point.arrived())
          .append(',')
          .append(point.answered());
      csv.append(',').append(point.tasksStarted()).append(',').append(point.p50());
      csv.append(',').append(point.p99()).append('\n');
    }
    return csv.toString();
  }

  private static void plot(LoadResult result, Path file) throws IOException {
    List<Point> points = result.timeline();
    if (points.isEmpty()) {
      return;
    }
    // Lets the chart be drawn on a machine without a display.
    System.setProperty("java.awt.headless", "true");
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(result.name())
            .xAxisTitle("second")
            .yAxisTitle("job time in ms; task starts a second")
            .build();
    double[] seconds = points.stream().mapToDouble(Point::second).toArray();
    add(chart, "job time p50", seconds, points.stream().mapToDouble(Point::p50).toArray());
    add(chart, "job time p99", seconds, points.stream().mapToDouble(Point::p99).toArray());
    double[] starts = points.stream().mapToDouble(Point::tasksStarted).toArray();
    add(chart, "task starts a second", seconds, starts);
    add(
        chart,
        "ideal p99",
        seconds,
        points.stream().mapToDouble(point -> result.idealMillis().p99()).toArray());
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
  }

  private static void add(XYChart chart, String name, double[] x, double[] y) {
    chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
  }
}
