package org.apricotstack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestTraceTest {

    private static final String LOG =
            """
            noise of another program
            host-1 {'time':800,'host':'host-1','event':'platform_lost','problem':'reset'}
            host-1 {'time':900,'host':'host-1','event':'avoided','upstream':'other','kind':'silent'}
            host-1 {'time':1000,'host':'host-1','event':'arrived','request':'r1','route':'a'}
            host-1 {'time':1000,'host':'host-1','event':'sent','request':'r1','upstream':'u1','helpers':'u2'}
            host-2 {'time':1100,'host':'host-2','event':'avoided','upstream':'u1','kind':'silent'}
            host-1 {'time':1500,'host':'host-1','event':'engine_reported','upstream':'u2','pace_percent':500}
            host-1 {'time':1600,'host':'host-1','event':'attempt_failed','request':'r1','upstream':'u1','kind':'cut'}
            host-1 {'time':1600,'host':'host-1','event':'refused','request':'r1','cause':'attempts_used','status':502}
            host-1 {'time':1700,'host':'host-1','event':'arrived','request':'r2','route':'a'}
            host-1 {'time':1900,'host':'host-1','event':'caller_left','request':'r2','last_event':'5'}
            host-1 {'time':1950,'host':'host-1','event':'arrived','request':'r3','route':'a'}
            host-2 {'time':700,'host':'host-2','event':'broke_off','request':'r4','content':'c1','upstream':'u7'}
            host-1 {'time':701,'host':'host-1','event':'heard_of_end','content':'c1','upstream':'u7','source':'host-2'}
            host-1 {'time':2000,'host':'host-1','event':'arrived','request':'r5','route':'a'}
            host-1 {'time':2001,'host':'host-1','event':'refused','request':'r5','content':'c1','cause':'a cause'}
            host-2 {'time':2002,'host':'host-2','event':'broke_off','request':'r6','content':'c2','upstream':'u8'}
            host-2 {'time':2500,'host':'host-2','event':'cause_found','part':'s/2a','upstreams':'u8,u9'}
            host-2 {'time':2501,'host':'host-2','event':'cause_found','part':'s/2b','upstreams':'u5'}
            host-1 {'time':3000,'host':'host-1','event':'arrived','request':'r7','route':'a'}
            host-1 {'time':3001,'host':'host-1','event':'refused','request':'r7','part':'s/2a','cause':'a cause'}
            {broken
            """
                    .replace('\'', '"');

    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void write() throws IOException {
        file = Files.writeString(folder.resolve("log"), LOG);
    }

    @Test
    void showsStateChangesOfTheUpstreamsUsed() {
        String text = RequestTrace.read("r1", List.of(file)).describe();
        assertThat(text)
                .contains("-200 ms  * platform_lost problem=reset")
                .contains("+500 ms  * engine_reported upstream=u2 pace_percent=500")
                .contains("+600 ms    attempt_failed upstream=u1 kind=cut")
                .doesNotContain("other")
                .doesNotContain("r2")
                .contains("host host-1");
    }

    /** A trace of a refused retry has to show which upstreams crashed under earlier attempts, and at which router. */
    @Test
    void showsLinesOfAllRoutersOnTheSameContent() {
        String text = RequestTrace.read("r5", List.of(file)).describe();
        assertThat(text)
                .contains("the same content at all routers")
                .contains("-1300 ms  host-2 r4 broke_off content=c1 upstream=u7")
                .contains("-1299 ms  host-1 heard_of_end content=c1 upstream=u7 source=host-2")
                .doesNotContain("u8");
        assertThat(RequestTrace.read("r1", List.of(file)).describe()).doesNotContain("the same content");
    }

    @Test
    void showsLinesOfAllRoutersOnTheRefusedPromptPart() {
        assertThat(RequestTrace.read("r7", List.of(file)).describe())
                .contains("-500 ms  host-2 cause_found part=s/2a upstreams=u8,u9")
                .doesNotContain("u5");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "r1 | ended by the router, attempts_used after upstream u1 failed (cut)",
                "r2 | the caller left in the middle of the stream",
                "r3 | the log ends with arrived"
            })
    void reportsTheLikelyCause(String request, String guess) {
        assertThat(RequestTrace.read(request, List.of(file)).describe()).contains("first guess: " + guess);
    }

    @Test
    void commandReturnsDocumentedExitCodes() {
        assertThat(MainTest.run("trace-request", "--request", "r1", file.toString()))
                .startsWith("0 host host-1");
        assertThat(MainTest.run("trace-request", "--request", "nobody", file.toString()))
                .startsWith("1 No file knows");
        assertThat(MainTest.run("trace-request", "--request", "r1", "/nowhere")).startsWith("3 Cannot read");
    }
}
