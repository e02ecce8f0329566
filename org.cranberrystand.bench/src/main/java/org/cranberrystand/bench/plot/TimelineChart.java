package org.cranberrystand.bench.plot;

import com.fasterxml.jackson.databind.JsonNode;
import java.awt.Color;
import java.awt.Graphics2D;
import java.awt.geom.Rectangle2D;
import java.awt.image.BufferedImage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import javax.imageio.ImageIO;
import org.cranberrystand.bundle.Tier;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.ui.Layer;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Image with two charts: goodput by tier over time, and dispatched tokens by team. */
final class TimelineChart {
  private static final int WIDTH_PIXELS = 1_000;
  private static final int CHART_HEIGHT_PIXELS = 400;
  private static final Color FLOOD_COLOUR = new Color(255, 200, 120);
  private static final float FLOOD_OPACITY = 0.4f;

  private final JsonNode flood;
  private final JsonNode teams;

  /**
   * Creates a chart.
   *
   * @param flood the timeline for the goodput
   * @param teams the timeline for the shares of the teams
   */
  TimelineChart(JsonNode flood, JsonNode teams) {
    this.flood = flood;
    this.teams = teams;
  }

  /** Writes the image in PNG format. */
  void write(Path file) throws IOException {
    BufferedImage image =
        new BufferedImage(WIDTH_PIXELS, 2 * CHART_HEIGHT_PIXELS, BufferedImage.TYPE_INT_RGB);
    Graphics2D graphics = image.createGraphics();
    goodputChart().draw(graphics, new Rectangle2D.Double(0, 0, WIDTH_PIXELS, CHART_HEIGHT_PIXELS));
    shareChart()
        .draw(
            graphics,
            new Rectangle2D.Double(0, CHART_HEIGHT_PIXELS, WIDTH_PIXELS, CHART_HEIGHT_PIXELS));
    graphics.dispose();
    ImageIO.write(image, "png", file.toFile());
  }

  /**
   * Returns the chart of requests answered in time per second of arrival, with the flood shaded.
   */
  JFreeChart goodputChart() {
    XYSeriesCollection data = new XYSeriesCollection();
    for (Tier tier : Tier.values()) {
      XYSeries series = new XYSeries(tier.label());
      int second = 0;
      for (JsonNode row : flood.path(tier.label())) {
        series.add(second++, row.path("inTime").asInt());
      }
      data.addSeries(series);
    }
    JFreeChart chart =
        ChartFactory.createXYLineChart(
            title("Goodput", flood),
            "arrival (s)",
            "requests in time per second",
            data,
            PlotOrientation.VERTICAL,
            true,
            false,
            false);
    IntervalMarker marker =
        new IntervalMarker(
            flood.path("startSeconds").asDouble(), flood.path("stopSeconds").asDouble());
    marker.setPaint(FLOOD_COLOUR);
    marker.setAlpha(FLOOD_OPACITY);
    chart.getXYPlot().addDomainMarker(marker, Layer.BACKGROUND);
    return chart;
  }

  /** Returns the chart of dispatched tokens per team, divided by the weight of the team. */
  JFreeChart shareChart() {
    DefaultCategoryDataset data = new DefaultCategoryDataset();
    for (Map.Entry<String, JsonNode> team : teams.path("teamTokensPerWeight").properties()) {
      data.addValue(team.getValue().asDouble(), "tokens", team.getKey());
    }
    return ChartFactory.createBarChart(
        title("Service by team", teams),
        "team",
        "tokens over weight",
        data,
        PlotOrientation.VERTICAL,
        false,
        false,
        false);
  }

  private static String title(String subject, JsonNode timeline) {
    return subject
        + ", "
        + timeline.path("workload").asText()
        + ", "
        + timeline.path("scenario").asText()
        + ", seed "
        + timeline.path("seed").asLong();
  }
}
