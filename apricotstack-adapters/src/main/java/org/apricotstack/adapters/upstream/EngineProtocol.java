package org.apricotstack.adapters.upstream;

/** Names of the engines' HTTP protocol, beside the fields of completion requests that clients know. */
public final class EngineProtocol {

    /** Runs a completion. */
    public static final String COMPLETIONS = "/v1/completions";

    /** Lists and releases what the engine holds; the name of the attempt follows to release it. */
    public static final String HELD = "/v1/held";

    /** Reserves memory for a prompt that several engines hold together. */
    public static final String RESERVATIONS = "/v1/reservations";

    /** Reads what the engine is, and orders it to become something. */
    public static final String STATE = "/v1/state";

    /** Request and answer: the attempt. */
    public static final String ATTEMPT = "X-Attempt-Id";

    /** Request: the owner process that asks. */
    public static final String OWNER = "X-Owner";

    /** Request: time left, in milliseconds; the engine tells it again with what it holds. */
    public static final String TIME_LIMIT = "X-Time-Limit-Millis";

    /** Request: 0 for the most urgent. */
    public static final String PRIORITY = "X-Priority";

    /** Request: tokens of the answer that are not wanted again. */
    public static final String RESUME_OFFSET = "X-Resume-Offset";

    /** Request: addresses of engines that hold a part of the prompt. */
    public static final String HELPERS = "X-Helper-Engines";

    /** Request: memory to reserve, in tokens. */
    public static final String TOKENS = "X-Tokens";

    /** Answer: the request was not run, and will not be. */
    public static final String NOT_RUN = "X-Not-Run";

    /** Answer: the upstream is leaving and takes no new work. */
    public static final String LEAVING = "X-Leaving";

    private EngineProtocol() {}
}
