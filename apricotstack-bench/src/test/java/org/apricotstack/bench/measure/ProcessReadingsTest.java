package org.apricotstack.bench.measure;

import java.io.IOException;
import java.net.ServerSocket;

import org.apricotstack.core.failure.ApricotException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ProcessReadingsTest {

    @Test
    void readsTheUsageOfARunningProcess() throws IOException {
        ProcessReadings before = ProcessReadings.of(ProcessHandle.current());
        try (ServerSocket socket = new ServerSocket(0)) {
            assertThat(socket.isBound()).isTrue();
            ProcessReadings after = ProcessReadings.of(ProcessHandle.current());
            assertThat(after.cpuSeconds()).isPositive().isGreaterThanOrEqualTo(before.cpuSeconds());
            assertThat(after.wakeUps()).isPositive();
            assertThat(after.sockets()).isPositive();
            assertThat(after.peakMegabytes()).isPositive();
        }
    }

    @Test
    void failsForAProcessThatHasEnded() throws Exception {
        Process ended = new ProcessBuilder("true").start();
        ended.waitFor();
        assertThatThrownBy(() -> ProcessReadings.of(ended.toHandle()))
                .isInstanceOf(ApricotException.class)
                .hasMessageContaining("build the program first");
    }
}
