package org.apricotstack.bench.trace;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.JsonFields;
import org.apricotstack.bench.trace.TraceRecord.Expected;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/**
 * Reads and writes traces: one JSON object per line, with the field names of the published Mooncake traces ({@code
 * timestamp}, {@code input_length}, {@code output_length}, {@code hash_ids}) and optional fields of this project.
 */
public final class TraceFiles {

    private static final long MAX_TOKENS = 1L << 24;
    private static final long MAX_MILLIS = 86_400_000L;
    private static final int MAX_PROBLEMS = 20;

    private TraceFiles() {}

    /**
     * Reads a trace file.
     *
     * @param file the file
     * @return its requests
     * @throws ApricotException with {@link ErrorCode#INVALID_TRACE} and the first problems
     */
    public static List<TraceRecord> read(Path file) {
        try {
            return read(file.toString(), Files.readAllLines(file));
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot read " + file + "; check that it exists and is readable.", e);
        }
    }

    /**
     * Parses the lines of a trace.
     *
     * @param source name of the source, for error messages
     * @param lines the lines; blank lines are skipped
     * @return the requests
     * @throws ApricotException with {@link ErrorCode#INVALID_TRACE} and the first problems
     */
    public static List<TraceRecord> read(String source, List<String> lines) {
        List<TraceRecord> records = new ArrayList<>();
        List<Problem> problems = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            if (!lines.get(i).isBlank()) {
                records.add(readLine(source + ":" + (i + 1), lines.get(i), problems));
            }
        }
        if (!problems.isEmpty()) {
            StringBuilder message = new StringBuilder("The trace cannot be used; correct each line:");
            problems.stream().limit(MAX_PROBLEMS).forEach(problem -> message.append('\n')
                    .append(problem));
            throw new ApricotException(ErrorCode.INVALID_TRACE, message.toString());
        }
        return records;
    }

    /** Parses one line. */
    private static TraceRecord readLine(String source, String line, List<Problem> problems) {
        try {
            JsonNode tree = Json.STRICT.readTree(line);
            JsonFields fields = new JsonFields(source, "", tree, problems::add);
            TraceRecord record = new TraceRecord(
                    fields.number("timestamp", null, 0, MAX_MILLIS),
                    fields.number("input_length", null, 0, MAX_TOKENS),
                    fields.number("output_length", null, 0, MAX_TOKENS),
                    fields.numbers("hash_ids"),
                    fields.text("account", "default"),
                    fields.text("service", "default"),
                    fields.flag("repeatable", true),
                    fields.number("time_limit", 0L, 0, MAX_MILLIS),
                    fields.value(
                            "expected",
                            Expected.COMPLETED_OR_NOT_RUN,
                            "completed, completed_or_not_run or not_run",
                            text -> Expected.valueOf(text.toUpperCase(Locale.ROOT))));
            fields.finish();
            return record;
        } catch (IOException e) {
            problems.add(new Problem(source, "", Json.describe(e), "one JSON object a line"));
            return null;
        }
    }

    /**
     * Writes a trace file.
     *
     * @param file the file
     * @param records the requests
     */
    public static void write(Path file, List<TraceRecord> records) {
        try (BufferedWriter writer = Files.newBufferedWriter(file)) {
            for (TraceRecord record : records) {
                writer.write(write(record));
                writer.newLine();
            }
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot write " + file + "; check that its folder can be written.", e);
        }
    }

    /**
     * Serializes one request.
     *
     * @param record the request
     * @return one line
     */
    public static String write(TraceRecord record) {
        ObjectNode line = Json.STRICT
                .createObjectNode()
                .put("timestamp", record.timestampMillis())
                .put("input_length", record.inputTokens())
                .put("output_length", record.outputTokens());
        ArrayNode hashIds = line.putArray("hash_ids");
        record.hashIds().forEach(hashIds::add);
        line.put("account", record.account())
                .put("service", record.service())
                .put("repeatable", record.repeatable())
                .put("time_limit", record.timeLimitMillis())
                .put("expected", record.expected().name().toLowerCase(Locale.ROOT));
        return Json.write(line);
    }
}
