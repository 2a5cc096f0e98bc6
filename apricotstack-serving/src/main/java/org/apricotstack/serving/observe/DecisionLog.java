package org.apricotstack.serving.observe;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.tinylog.Logger;

/**
 * Writes one JSON object a line for each decision on a request and each change of what the router believes.
 *
 * <p>Lines wait in a bounded queue for a thread that writes them; when it is full, lines are dropped and counted, so
 * that logging never holds a request up.
 */
public final class DecisionLog implements AutoCloseable {

    /** Lines that may wait; about a megabyte. */
    private static final int MOST_WAITING = 4_096;

    private static final JsonFactory JSON = new JsonFactory();

    private final BlockingQueue<String> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final LongSupplier wallClockMillis;
    private final String host;
    private final Thread writer;

    /**
     * Creates a log and starts its writing thread.
     *
     * @param host name of this host, which each line carries
     * @param wallClockMillis the time of day, in milliseconds since 1970
     */
    public DecisionLog(String host, LongSupplier wallClockMillis) {
        this.host = host;
        this.wallClockMillis = wallClockMillis;
        this.writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes waiting lines until the log is closed. */
    private void writeLines() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                Logger.info(waiting.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
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
        for (String line = waiting.poll(); line != null; line = waiting.poll()) {
            Logger.info(line);
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
            if (!waiting.offer(text.toString())) {
                dropped.incrementAndGet();
            }
        }
    }
}
