package org.apricotstack.serving.http;

import java.util.Locale;

/** How far the current request of a caller's connection has come. */
public enum RequestStage {
    /** No byte of a request has arrived. */
    IDLE,
    /** The request line and headers are arriving. */
    HEAD_ARRIVING,
    /** The body is arriving. */
    BODY_ARRIVING,
    /** The request has arrived whole, and no response has started. */
    IN_FLIGHT,
    /** The response has started. */
    ANSWERING;

    /** Returns the stage of the request of an exchange, or of one that has none yet if the exchange is {@code null}. */
    static RequestStage of(CallerExchange exchange, boolean headArriving, boolean bodyComplete) {
        if (exchange == null) {
            return headArriving ? HEAD_ARRIVING : IDLE;
        }
        if (exchange.answerStarted()) {
            return ANSWERING;
        }
        return bodyComplete ? IN_FLIGHT : BODY_ARRIVING;
    }

    /**
     * Returns the name in logs.
     *
     * @return the name in lower case, with underscores
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
