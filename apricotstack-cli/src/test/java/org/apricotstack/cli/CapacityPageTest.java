package org.apricotstack.cli;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** The capacity page only names classes that exist, and figures that are in the measurement files it cites. */
class CapacityPageTest {

    private static final Path DOCS = Path.of("..", "docs");
    private static final Pattern CLASS_NAME = Pattern.compile("`([a-z]+(?:\\.[a-z]+)*\\.[A-Z][A-Za-z]+)`");
    private static final Pattern FIGURE =
            Pattern.compile("`([a-z0-9-]+)/(slope|intercept|median|most|least|r2)=([^`]+)`");

    private static String page() throws IOException {
        return Files.readString(DOCS.resolve("CAPACITY.md"));
    }

    @Test
    void namesExistingClasses() throws IOException {
        Matcher names = CLASS_NAME.matcher(page());
        Set<String> checked = new HashSet<>();
        while (names.find()) {
            String name = "org.apricotstack." + names.group(1);
            assertThat(exists(name)).as(name).isTrue();
            checked.add(name);
        }
        assertThat(checked).hasSizeGreaterThan(10);
    }

    private static boolean exists(String name) {
        try {
            Class.forName(name, false, CapacityPageTest.class.getClassLoader());
            return true;
        } catch (ClassNotFoundException e) {
            return false;
        }
    }

    @Test
    void citesMeasuredFigures() throws IOException {
        List<CSVRecord> slopes = new ArrayList<>();
        for (String file : List.of("state", "control", "news", "suspects", "limits", "drains")) {
            Path path = DOCS.resolve("measurements").resolve(file + "-slopes.csv");
            try (Reader reader = Files.newBufferedReader(path)) {
                slopes.addAll(CSVFormat.DEFAULT
                        .builder()
                        .setHeader()
                        .setSkipHeaderRecord(true)
                        .get()
                        .parse(reader)
                        .getRecords());
            }
        }
        Matcher figures = FIGURE.matcher(page());
        int checked = 0;
        while (figures.find()) {
            String series = figures.group(1);
            String column = figures.group(2);
            String value = figures.group(3);
            assertThat(slopes)
                    .as(figures.group())
                    .anyMatch(record -> record.get("series").equals(series)
                            && record.get(column).equals(value));
            checked++;
        }
        assertThat(checked).isGreaterThan(8);
    }

    @ParameterizedTest
    @ValueSource(strings = {"660", "5,500", "44,000", "45,000", "2,100", "5,300", "2.1%", "256 MB", "2 KB"})
    void statesTheFiguresForTheTargetSize(String figure) throws IOException {
        assertThat(page()).contains(figure);
    }
}
