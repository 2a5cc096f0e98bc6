package org.apricotstack.serving.observe;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DecisionLogTest {

    /** Timeout for a write, in seconds. */
    private static final long PATIENCE_SECONDS = 15;

    /** Maximum number of queued lines. */
    private static final int MAX_QUEUED_LINES = 4_096;

    private static List<String> lines(ByteArrayOutputStream out) {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static String line(long number) {
        return "{\"time\":7,\"host\":\"host\",\"event\":\"tried\",\"number\":" + number + "}";
    }

    @Test
    void writesQueuedLinesOnClose() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DecisionLog log = new DecisionLog("host", () -> 7, out)) {
            for (int i = 0; i < 10; i++) {
                log.line("tried").put("number", i).write();
            }
        }
        assertThat(lines(out))
                .containsExactlyElementsOf(
                        LongStream.range(0, 10).mapToObj(DecisionLogTest::line).toList());
    }

    /**
     * Guards against the loss of the lines that show how an overload ended. When nothing reads the output for a while
     * and the queue overflows, the newest lines were dropped.
     */
    @Test
    void dropsAndCountsTheOldestLines() throws InterruptedException {
        CountDownLatch writing = new CountDownLatch(1);
        CountDownLatch reads = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int one) {
                read.write(one);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                writing.countDown();
                try {
                    reads.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                read.write(bytes, offset, length);
            }
        };
        DecisionLog log = new DecisionLog("host", () -> 7, blocked);
        log.line("tried").put("number", 0).write();
        assertThat(writing.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        for (int i = 1; i <= MAX_QUEUED_LINES + 5; i++) {
            log.line("tried").put("number", i).write();
        }
        assertThat(log.dropped()).isEqualTo(5);
        reads.countDown();
        log.close();
        assertThat(lines(read))
                .hasSize(MAX_QUEUED_LINES + 1)
                .startsWith(line(0))
                .endsWith(line(MAX_QUEUED_LINES + 5))
                .doesNotContain(line(5));
    }

    @Test
    void logsLibraryWarnings() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DecisionLog log = new DecisionLog("host", () -> 7, out)) {
            LibraryWarnings.writeTo(log);
            Logger.getLogger("a.library").log(Level.WARNING, "is full", new IOException("no space"));
            Logger.getLogger("a.library").info("is fine");
        } finally {
            LogManager.getLogManager().reset();
        }
        assertThat(lines(out))
                .containsExactly("{\"time\":7,\"host\":\"host\",\"event\":\"library_warning\",\"logger\":\"a.library\","
                        + "\"message\":\"is full\",\"problem\":\"java.io.IOException: no space\"}");
    }
}
