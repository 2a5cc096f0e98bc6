package org.apricotstack.bench.measure;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;

/** Writes samples, fitted lines, and a plot of each series. */
public final class MeasurementFiles {

    private static final int WIDTH = 640;
    private static final int HEIGHT = 400;

    private final Path folder;

    /**
     * Creates a writer.
     *
     * @param folder folder for the files
     */
    public MeasurementFiles(Path folder) {
        this.folder = folder;
    }

    /**
     * Writes the files of one group of measurements.
     *
     * @param name name of the group
     * @param samples its samples
     * @return the fitted lines of the series
     */
    public List<Slope> write(String name, List<Sample> samples) {
        Map<String, List<Sample>> series = new LinkedHashMap<>();
        samples.forEach(sample -> series.computeIfAbsent(sample.series(), key -> new ArrayList<>())
                .add(sample));
        List<Slope> slopes = new ArrayList<>();
        series.forEach((key, points) -> slopes.add(Slope.of(key, points)));
        try {
            Files.createDirectories(folder);
            writeSamples(folder.resolve(name + "-samples.csv"), samples);
            writeSlopes(folder.resolve(name + "-slopes.csv"), slopes);
            for (Map.Entry<String, List<Sample>> entry : series.entrySet()) {
                plot(entry.getKey(), entry.getValue());
            }
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot write to " + folder + "; check that it can be written.", e);
        }
        return slopes;
    }

    /** Writes the samples. */
    private static void writeSamples(Path file, List<Sample> samples) throws IOException {
        try (Writer writer = Files.newBufferedWriter(file);
                CSVPrinter printer = new CSVPrinter(writer, format("series", "x", "y"))) {
            for (Sample sample : samples) {
                printer.printRecord(sample.series(), number(sample.x()), number(sample.y()));
            }
        }
    }

    /** Writes the fitted lines. */
    private static void writeSlopes(Path file, List<Slope> slopes) throws IOException {
        String[] names = {"series", "slope", "intercept", "r2", "median", "least", "most", "samples"};
        try (Writer writer = Files.newBufferedWriter(file);
                CSVPrinter printer = new CSVPrinter(writer, format(names))) {
            for (Slope slope : slopes) {
                printer.printRecord(
                        slope.series(),
                        number(slope.slope()),
                        number(slope.intercept()),
                        number(slope.r2()),
                        number(slope.median()),
                        number(slope.min()),
                        number(slope.max()),
                        slope.samples());
            }
        }
    }

    /** Returns the CSV format of the files. */
    private static CSVFormat format(String... header) {
        return CSVFormat.DEFAULT
                .builder()
                .setHeader(header)
                .setRecordSeparator('\n')
                .get();
    }

    /** Formats a number with four significant digits. */
    private static String number(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }

    /** Plots one series. */
    private void plot(String series, List<Sample> points) throws IOException {
        XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).title(series).build();
        chart.getStyler()
                .setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Scatter)
                .setLegendVisible(false);
        chart.addSeries(
                series,
                points.stream().mapToDouble(Sample::x).toArray(),
                points.stream().mapToDouble(Sample::y).toArray());
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, folder.resolve(series + ".svg").toString(), VectorGraphicsFormat.SVG);
    }
}
