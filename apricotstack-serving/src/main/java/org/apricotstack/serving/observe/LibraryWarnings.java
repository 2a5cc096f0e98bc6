package org.apricotstack.serving.observe;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import reactor.util.Loggers;

/**
 * Writes warnings of libraries to the decision log.
 *
 * <p>All of them go through the Java runtime's own logging, which one library needs anyway; a second framework beside
 * it took a seventh of the main thread's startup time.
 */
public final class LibraryWarnings extends Handler {

    private final DecisionLog log;

    /** Creates a handler that writes to a log. */
    private LibraryWarnings(DecisionLog log) {
        this.log = log;
        setLevel(Level.WARNING);
    }

    /**
     * Redirects all warnings of libraries to a log; called before other classes of libraries are used.
     *
     * @param log receives the lines
     */
    public static void writeTo(DecisionLog log) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Loggers.useJdkLoggers();
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new LibraryWarnings(log));
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        Throwable thrown = entry.getThrown();
        log.line("library_warning")
                .put("logger", entry.getLoggerName())
                .put("message", entry.getMessage())
                .put("problem", thrown == null ? null : thrown.toString())
                .write();
    }

    @Override
    public void flush() {
        // The log writes its lines on its own thread.
    }

    @Override
    public void close() {
        // The log is closed by its owner.
    }
}
