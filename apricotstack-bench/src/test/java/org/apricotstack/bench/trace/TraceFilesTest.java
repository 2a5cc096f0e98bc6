package org.apricotstack.bench.trace;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.bench.deployment.DeploymentDocuments;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class TraceFilesTest {

    private static final TraceOptions OPTIONS = new TraceOptions(
            5, 3_000, 10, 0.02, 1_000_000, 0.3, 0.1, List.of("a", "b", "c"), DeploymentDocuments.SERVICES);

    @Test
    void readsWhatItWrites() {
        List<TraceRecord> records = TraceGenerator.generate(OPTIONS).subList(0, 50);
        List<String> lines = records.stream().map(TraceFiles::write).toList();
        assertThat(TraceFiles.read("t", lines)).isEqualTo(records);
    }

    @Test
    void readsPublishedTracesWithoutOptionalFields() {
        String line = "{\"timestamp\":27482,\"input_length\":6955,\"output_length\":52,\"hash_ids\":[46,47]}";
        TraceRecord record = TraceFiles.read("t", List.of(line, "")).get(0);
        assertThat(record.inputTokens()).isEqualTo(6_955);
        assertThat(record.expected()).isEqualTo(TraceRecord.Expected.COMPLETED_OR_NOT_RUN);
    }

    @Test
    void generatesTheSameTraceForTheSameSeedWithTheStatedMix() {
        List<TraceRecord> records = TraceGenerator.generate(OPTIONS);
        assertThat(TraceGenerator.generate(OPTIONS)).isEqualTo(records);
        long longOnes = records.stream().filter(r -> r.inputTokens() > 100_000).count();
        assertThat(longOnes).isBetween(35L, 75L);
        assertThat(records).allMatch(r -> r.inputTokens() <= 1_000_000);
        long first = records.stream().filter(r -> r.account().equals("a")).count();
        assertThat(first).isBetween(1_350L, 1_650L);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{}|timestamp: found nothing",
                "x|t:1: (whole document): found no JSON",
                "{\"timestamp\":-1,\"input_length\":1,\"output_length\":1,\"hash_ids\":[]}|timestamp: found -1",
                "{\"timestamp\":1,\"input_lenght\":1,\"output_length\":1,\"hash_ids\":[]}|\"input_length\"",
                "{\"timestamp\":1,\"input_length\":1,\"output_length\":1,\"hash_ids\":[\"a\"]}|hash_ids[0]: found a"
            })
    void reportsTheLineAndTheProblem(String line, String problem) {
        assertThatExceptionOfType(ApricotException.class)
                .isThrownBy(() -> TraceFiles.read("t", List.of(line)))
                .withMessageContaining(problem)
                .satisfies(e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_TRACE));
    }

    /** Any line is either parsed or refused with an ApricotException. */
    @Property(tries = 300, seed = "7")
    void failsOnlyWithAnApricotException(@ForAll String noise) {
        try {
            TraceFiles.read("t", List.of(noise));
        } catch (ApricotException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.INVALID_TRACE);
        }
    }
}
