package org.apricotstack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LostValueReportTest {

    private static final String ARRIVED = "{'time':1000,'host':'h','event':'arrived','request':'r','target_millis':300,"
            + "'pause_target_millis':250,'prompt_tokens':5000}";

    @TempDir
    private Path folder;

    private Path log(String... lines) throws IOException {
        return Files.writeString(folder.resolve("log"), String.join("\n", lines).replace('\'', '"'));
    }

    private static String line(long time, String event, String fields) {
        return "noise {'time':" + time + ",'host':'h','event':'" + event + "','request':'r'" + fields + "}";
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1010 | 20 | 1100 | 60 | nothing",
                "1010 | 20 | 1500 | 60 | to 10^4   late: predicted in time",
                "1010 | 700 | 1800 | 60 | to 10^4   late: so predicted",
                "1200 | 20 | 1500 | 60 | to 10^4   late: waited for room",
                "1010 | 20 | 1100 | 400 | to 10^4   pause: its engine was busy"
            })
    void reportsTheCauseOfALateAnswer(long sent, long predicted, long first, long tokenGap, String cause)
            throws IOException {
        Path file = log(
                ARRIVED,
                line(sent, "sent", ",'predicted_millis':" + predicted),
                line(first, "first_event", ""),
                line(3_000, "streamed", ",'status':200,'took_millis':2000,'longest_pause_millis':" + tokenGap));
        String text = LostValueReport.read(List.of(file)).describe();
        if (cause.equals("nothing")) {
            assertThat(text).contains("1 requests").doesNotContain("late", "pause");
        } else {
            assertThat(text).contains(cause).contains("75.00%").contains("(0 s: 1)");
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "refused | ,'cause':'no_room' | refused: no_room",
                "caller_left | ,'last_event':'3' | caller left midway",
                "caller_left |  | caller left before an answer",
                "first_event |  | no end"
            })
    void reportsTheCauseOfAMissingAnswer(String event, String fields, String cause) throws IOException {
        Path file = log(ARRIVED, line(1_010, "sent", ""), line(1_100, event, fields == null ? "" : fields));
        assertThat(LostValueReport.read(List.of(file)).describe())
                .contains(cause)
                .contains("100.00%");
    }

    @Test
    void commandReturnsDocumentedExitCodes() throws IOException {
        assertThat(MainTest.run("lost-worth", log(ARRIVED).toString())).startsWith("0 1 requests");
        assertThat(MainTest.run("lost-worth", log("{}").toString())).startsWith("1 No file has a request");
        assertThat(MainTest.run("lost-worth", "/nowhere")).startsWith("3 Cannot read");
    }
}
