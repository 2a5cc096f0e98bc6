package org.apricotstack.serving;

import java.util.EnumSet;
import java.util.Set;

import org.apricotstack.core.stop.StopTimeline;
import org.apricotstack.serving.http.ConnectionClose;
import org.apricotstack.serving.http.ConnectionCloseObserver;
import org.apricotstack.serving.http.RequestStage;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.LineRate;
import org.apricotstack.serving.observe.ServingMetrics;

/**
 * Counts the connections of callers that the router closes, and logs those with a request in them together with the
 * age of what may have caused the close.
 */
final class ConnectionCloseLog implements ConnectionCloseObserver {

    /** Maximum of lines in a second, so that a flood of closes does not displace other lines. */
    static final int MAX_LINES_PER_SECOND = 10;

    /** Causes that are only counted if no request was on the connection. */
    private static final Set<ConnectionCloseCause> IDLE_CAUSES = EnumSet.of(
            ConnectionCloseCause.IDLE_TIMEOUT, ConnectionCloseCause.IDLE_AT_STOP, ConnectionCloseCause.IDLE_AT_MAXIMUM);

    /** Age of something that has not happened. */
    private static final long NEVER = -1;

    private final ServingLoop loop;
    private final StopTimeline stop;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final LineRate lines;
    private long configuredMillis = NEVER;
    private long reloadedMillis = NEVER;

    /** Creates a log without a close. */
    ConnectionCloseLog(ServingLoop loop, StopTimeline stop, DecisionLog log, ServingMetrics metrics) {
        this.loop = loop;
        this.stop = stop;
        this.log = log;
        this.metrics = metrics;
        this.lines = new LineRate(MAX_LINES_PER_SECOND, loop::nowMillis);
    }

    /** Records that another configuration is in force. */
    void configurationInForce() {
        configuredMillis = loop.nowMillis();
    }

    /** Records that the process received the signal to read its settings again. */
    void reloaded() {
        reloadedMillis = loop.nowMillis();
    }

    @Override
    public void closed(ConnectionClose close) {
        metrics.connectionClosed(close.cause());
        if (!isLogged(close)) {
            return;
        }
        if (!lines.take()) {
            metrics.closeLineSuppressed();
            return;
        }
        write(close);
    }

    /** Returns whether a close is logged; others are only counted. */
    private static boolean isLogged(ConnectionClose close) {
        boolean idle = close.stage() == RequestStage.IDLE && IDLE_CAUSES.contains(close.cause());
        return !idle && close.cause() != ConnectionCloseCause.CALLER_RESET;
    }

    /** Writes a line. */
    private void write(ConnectionClose close) {
        long now = loop.nowMillis();
        DecisionLog.Line line = log.line("caller_connection_closed")
                .put("request", close.requestId())
                .put("stage", close.stage().code())
                .put("cause", close.cause().code())
                .put("caller", close.callerIp())
                .put(
                        "error",
                        close.error() == null ? null : close.error().getClass().getName());
        if (configuredMillis != NEVER) {
            line.put("configuration_age_millis", now - configuredMillis);
        }
        if (stop.stopping()) {
            line.put("stopping_millis", stop.elapsedMillis(now));
        }
        if (reloadedMillis != NEVER) {
            line.put("reloaded_millis", now - reloadedMillis);
        }
        line.write();
    }
}
