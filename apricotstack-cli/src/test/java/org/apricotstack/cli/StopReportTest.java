package org.apricotstack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class StopReportTest {

    @TempDir
    private Path folder;

    private String report(String... lines) throws IOException {
        Path file = Files.writeString(
                folder.resolve("log"), String.join("\n", lines).replace('\'', '"'));
        return MainTest.run("stop-report", file.toString());
    }

    private static String line(long time, String event, String fields) {
        return "noise {'time':" + time + ",'host':'h','event':'" + event + "'" + fields + "}";
    }

    private static String arrival(long time, String request) {
        return line(
                time,
                "arrived",
                ",'request':'" + request
                        + "','route':'r','account':'a','prompt_tokens':5000,'caller':'10.0.0.9','stopping_millis':1");
    }

    private static String rejection(long time, String request, boolean ready) {
        return line(time, "rejected_by_stop", ",'request':'" + request + "','ready_router':" + ready);
    }

    @Test
    void acceptsStopsThatEndWithNothingOpen() throws IOException {
        assertThat(report(line(1, "stop_begun", ""), line(5_000, "stopped", ",'open':0"), line(6_000, "started", "")))
                .startsWith("0 1 stops, 0 killed, 0 ended with requests open");
    }

    @Test
    void findsAStopThatCutARequest() throws IOException {
        String cut = line(7_600, "cut_by_stop", ",'request':'q','took_millis':5000,'stopping_millis':7600");
        assertThat(report(line(1, "stop_begun", ""), line(7_600, "stopped", ",'open':1"), cut))
                .startsWith("1 1 stops, 0 killed, 1 ended with requests open")
                .contains("1 requests cut, 1 of them taken after the signal");
    }

    @Test
    void findsAStopThatWasKilled() throws IOException {
        assertThat(report(line(1, "process_stalled", ""), line(2, "stop_begun", ""), line(9_000, "started", "")))
                .startsWith("1 1 stops, 1 killed, 0 ended with requests open; 1 stalls");
    }

    @Test
    void countsRejectionsAndThoseOfRepeats() throws IOException {
        assertThat(report(
                        line(1, "stop_begun", ""),
                        arrival(100, "first"),
                        rejection(100, "first", true),
                        arrival(1_000, "repeat"),
                        rejection(1_000, "repeat", false),
                        arrival(9_000, "later"),
                        rejection(9_000, "later", false)))
                .contains("3 rejected, 2 of them without a ready router, 1 again");
    }

    @Test
    void asksForLogsWithAStop() throws IOException {
        assertThat(report("{}")).startsWith("1 No file has a stop");
    }
}
