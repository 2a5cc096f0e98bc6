package org.apricotstack.serving.observe;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes one JSON object per line for each decision on a request and each change of the router's state.
 *
 * <p>Lines wait in a bounded queue for a thread that writes them in batches. When the queue is full, the oldest lines
 * are dropped and counted, so that logging never delays a request.
 */
public final class DecisionLog implements AutoCloseable {

    /** Maximum number of queued lines; about a megabyte. */
    private static final int MAX_QUEUED_LINES = 4_096;

    /**
     * Time in which lines are gathered for one write, in milliseconds. Each write wakes a thread and makes a system
     * call, and a request causes about five lines. A killed process loses no more than the lines of this time.
     */
    private static final long GATHER_MILLIS = 20;

    /**
     * Timeout for the last write of the writer thread, in milliseconds; a stop does not wait for a consumer that no
     * longer reads.
     */
    private static final long CLOSE_MILLIS = 200;

    private static final JsonFactory JSON = new JsonFactory();

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final LongSupplier wallClockMillis;
    private final String host;
    private final OutputStream out;
    private final Thread writer;

    /**
     * Creates a log to standard output and starts its writer thread.
     *
     * @param host name of this host, included in each line
     * @param wallClockMillis the time of day, in milliseconds since 1970
     */
    public DecisionLog(String host, LongSupplier wallClockMillis) {
        this(host, wallClockMillis, new FileOutputStream(FileDescriptor.out));
    }

    /**
     * Creates a log that writes to a stream.
     *
     * @param host the host's name
     * @param wallClockMillis the time of day in Unix milliseconds
     * @param out receives the lines
     */
    public DecisionLog(String host, LongSupplier wallClockMillis, OutputStream out) {
        this.host = host;
        this.wallClockMillis = wallClockMillis;
        this.out = out;
        this.writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes queued lines until the log is closed. */
    private void writeLines() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                String first = queue.take();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(GATHER_MILLIS));
                write(first);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a line and all queued ones after it in one write. */
    private void write(String first) {
        StringBuilder text = new StringBuilder(first).append('\n');
        for (String line = queue.poll(); line != null; line = queue.poll()) {
            text.append(line).append('\n');
        }
        try {
            synchronized (out) {
                out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            // The output is closed; the router keeps running, and the counter shows that lines are missing.
            dropped.incrementAndGet();
        }
    }

    /**
     * Starts a line.
     *
     * @param event what happened, such as {@code placed}
     * @return the line, to which fields are added
     */
    public Line line(String event) {
        return new Line(event);
    }

    /**
     * Starts a line about a request.
     *
     * @param event what happened, such as {@code placed}
     * @param request the request's id
     * @return the line, to which fields are added
     */
    public Line request(String event, String request) {
        return new Line(event).put("request", request);
    }

    /**
     * Returns the number of dropped lines.
     *
     * @return lines since the start
     */
    public long dropped() {
        return dropped.get();
    }

    /** Writes the queued lines; called when the process stops. */
    @Override
    public void close() {
        writer.interrupt();
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        String first = queue.poll();
        if (first != null) {
            write(first);
        }
    }

    /** A log line under construction. */
    public final class Line {

        private final StringWriter text = new StringWriter();
        private final JsonGenerator json;

        /** Starts the line. */
        private Line(String event) {
            try {
                json = JSON.createGenerator(text);
                json.writeStartObject();
                json.writeNumberField("time", wallClockMillis.getAsLong());
                json.writeStringField("host", host);
                json.writeStringField("event", event);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /**
         * Adds a string field.
         *
         * @param name name of the field
         * @param value the string; the field is omitted if {@code null}
         * @return this line
         */
        public Line put(String name, String value) {
            try {
                if (value != null) {
                    json.writeStringField(name, value);
                }
                return this;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /**
         * Adds an integer field.
         *
         * @param name name of the field
         * @param value the number
         * @return this line
         */
        public Line put(String name, long value) {
            try {
                json.writeNumberField(name, value);
                return this;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /**
         * Adds a Boolean field.
         *
         * @param name name of the field
         * @param value the value
         * @return this line
         */
        public Line put(String name, boolean value) {
            try {
                json.writeBooleanField(name, value);
                return this;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Ends the line and queues it for the writer thread. */
        public void write() {
            try {
                json.writeEndObject();
                json.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            String line = text.toString();
            while (!queue.offer(line)) {
                dropped.addAndGet(queue.poll() == null ? 0 : 1);
            }
        }
    }
}
