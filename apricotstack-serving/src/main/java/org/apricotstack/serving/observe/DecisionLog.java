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
 * Writes one JSON object a line for each decision on a request and each change of what the router believes.
 *
 * <p>Lines wait in a bounded queue for a thread that writes them, many at once; when it is full, the oldest are dropped
 * and counted, so that logging never holds a request up.
 */
public final class DecisionLog implements AutoCloseable {

    /** Lines that may wait; about a megabyte. */
    private static final int MOST_WAITING = 4_096;

    /**
     * Time in which lines are gathered for one write, in milliseconds. Each write wakes a thread and calls the kernel,
     * and a request makes about five lines; what is lost when a process is killed is no more than these milliseconds.
     */
    private static final long GATHER_MILLIS = 20;

    /**
     * Time for the last write of the writing thread, in milliseconds; a stop does not wait for a reader that is gone.
     */
    private static final long CLOSE_MILLIS = 200;

    private static final JsonFactory JSON = new JsonFactory();

    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final LongSupplier wallClockMillis;
    private final String host;
    private final OutputStream out;
    private final Thread writer;

    /**
     * Creates a log to standard output and starts its writing thread.
     *
     * @param host name of this host, which each line carries
     * @param wallClockMillis the time of day, in milliseconds since 1970
     */
    public DecisionLog(String host, LongSupplier wallClockMillis) {
        this(host, wallClockMillis, new FileOutputStream(FileDescriptor.out));
    }

    /** Creates a log and starts its writing thread. */
    DecisionLog(String host, LongSupplier wallClockMillis, OutputStream out) {
        this.host = host;
        this.wallClockMillis = wallClockMillis;
        this.out = out;
        this.writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes waiting lines until the log is closed. */
    private void writeLines() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                String first = waiting.take();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(GATHER_MILLIS));
                write(first);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a line and all that wait behind it in one piece. */
    private void write(String first) {
        StringBuilder text = new StringBuilder(first).append('\n');
        for (String line = waiting.poll(); line != null; line = waiting.poll()) {
            text.append(line).append('\n');
        }
        try {
            synchronized (out) {
                out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            // Nobody reads the output any more; the router goes on, and the counter tells that lines are missing.
            dropped.incrementAndGet();
        }
    }

    /**
     * Begins a line.
     *
     * @param event what happened, such as {@code placed}
     * @return takes the fields
     */
    public Line line(String event) {
        return new Line(event);
    }

    /**
     * Begins a line on a request.
     *
     * @param event what happened, such as {@code placed}
     * @param request the request's id
     * @return takes the fields
     */
    public Line request(String event, String request) {
        return new Line(event).put("request", request);
    }

    /**
     * Returns how many lines were dropped.
     *
     * @return lines since the start
     */
    public long dropped() {
        return dropped.get();
    }

    /** Writes what still waits; called when the process stops. */
    @Override
    public void close() {
        writer.interrupt();
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        String first = waiting.poll();
        if (first != null) {
            write(first);
        }
    }

    /** One line that is being written. */
    public final class Line {

        private final StringWriter text = new StringWriter();
        private final JsonGenerator json;

        /** Begins the line. */
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
         * Adds a text.
         *
         * @param name the field
         * @param value the text; left out if {@code null}
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
         * Adds a whole number.
         *
         * @param name the field
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
         * Adds a truth value.
         *
         * @param name the field
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

        /** Ends the line and hands it to the writing thread. */
        public void write() {
            try {
                json.writeEndObject();
                json.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            String line = text.toString();
            while (!waiting.offer(line)) {
                dropped.addAndGet(waiting.poll() == null ? 0 : 1);
            }
        }
    }
}
