package org.apricotstack.adapters.upstream;

/** Paths and headers of the engines' HTTP protocol. The bodies of completion requests are those of callers. */
public final class EngineProtocol {

    /** Runs a completion. */
    public static final String COMPLETIONS = "/v1/completions";

    /** Lists the held streams of the engine. With the id of an attempt appended, releases its stream. */
    public static final String HELD = "/v1/held";

    /** Reserves memory for a prompt that is split over several engines. */
    public static final String RESERVATIONS = "/v1/reservations";

    /** Reads the current state of the engine, and sets its desired state. */
    public static final String STATE = "/v1/state";

    /** Request and response header: the id of the attempt. */
    public static final String ATTEMPT = "X-Attempt-Id";

    /**
     * Request and response header: the id of a query, a GET of {@link #HELD} or {@link #STATE}. Engines repeat it; an
     * engine that does not gets a new connection for each query.
     */
    public static final String QUERY = "X-Query-Id";

    /** Request header: the owner process that sends the request. */
    public static final String OWNER = "X-Owner";

    /** Request header: remaining time in milliseconds. The engine includes it in the list of held streams. */
    public static final String TIME_LIMIT = "X-Time-Limit-Millis";

    /** Request header: priority, 0 for the most urgent. */
    public static final String PRIORITY = "X-Priority";

    /** Request header: number of tokens of the answer that the router already has. */
    public static final String RESUME_OFFSET = "X-Resume-Offset";

    /** Request header: names of the helpers, separated by commas. */
    public static final String HELPERS = "X-Helper-Engines";

    /** Request header: memory to reserve, in tokens. */
    public static final String TOKENS = "X-Tokens";

    /** Response header: the request was not run, and will not be. */
    public static final String NOT_RUN = "X-Not-Run";

    /** Response header: the upstream is leaving and accepts no new work. */
    public static final String LEAVING = "X-Leaving";

    private EngineProtocol() {}
}
