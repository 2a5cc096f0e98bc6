package org.apricotstack.core.failure;

import java.util.Locale;

/** Why a request was refused or failed; each reason has its own counter. */
public enum RefusalReason {
    /** The credentials belong to no client account. */
    UNAUTHENTICATED(
            RefusalKind.CALLER_ERROR,
            "The credentials belong to no client account.",
            "Send a key of a client account as bearer token."),
    /** The service does not exist or the client account may not use it. */
    UNKNOWN_SERVICE(
            RefusalKind.CALLER_ERROR,
            "The service does not exist or the client account may not use it.",
            "Name a service that the client account may use."),
    /** The request cannot be read. */
    INVALID_REQUEST(RefusalKind.CALLER_ERROR, "The request cannot be read.", "Correct the request as the detail says."),
    /** The body is larger than the published limit. */
    BODY_TOO_LARGE(RefusalKind.CALLER_ERROR, "The body is larger than the published limit.", "Send a smaller body."),
    /** No group has memory enough for the prompt and its answer. */
    PROMPT_TOO_LONG(
            RefusalKind.CALLER_ERROR,
            "No group has memory enough for the prompt and its answer.",
            "Shorten the prompt."),
    /** The time limit is not a number in range. */
    INVALID_TIME_LIMIT(
            RefusalKind.CALLER_ERROR,
            "The time limit is not a number in range.",
            "Send a time limit in milliseconds within the range that the detail names."),
    /** The client account has used up its token rate. */
    RATE_LIMITED(
            RefusalKind.LIMIT,
            "The client account has used up its token rate.",
            "Come back after the stated time, or ask the operators for a larger limit."),
    /** The client account has as many requests running as it may. */
    CONCURRENCY_LIMITED(
            RefusalKind.LIMIT,
            "The client account has as many requests running as it may.",
            "Wait for running requests to end."),
    /** This router holds as many body bytes as it may. */
    BODY_MEMORY_EXHAUSTED(
            RefusalKind.OVERLOAD,
            "This router holds as many body bytes as it may.",
            "Come back after the stated time."),
    /** The preset in force turns away services of this priority. */
    SHED_BY_PRESET(
            RefusalKind.OVERLOAD,
            "The preset in force turns away services of this priority.",
            "Come back when another preset is in force."),
    /** The queue of the group is full. */
    QUEUE_FULL(RefusalKind.OVERLOAD, "The queue of the group is full.", "Come back after the stated time."),
    /** The predicted end is past the time limit. */
    CANNOT_FINISH_IN_TIME(
            RefusalKind.OVERLOAD,
            "The predicted end is past the time limit.",
            "Allow more time or come back after the stated time."),
    /** This router has no configuration yet. */
    NO_CONFIGURATION(
            RefusalKind.UNAVAILABLE,
            "This router has no configuration yet.",
            "Come back after the stated time; operators check the configuration service."),
    /** No group for the service has a live upstream. */
    NO_GROUP(
            RefusalKind.UNAVAILABLE,
            "No group for the service has a live upstream.",
            "Come back after the stated time; operators check the upstreams of the service."),
    /** The owner of the group did not take the request. */
    OWNER_UNREACHABLE(
            RefusalKind.UNAVAILABLE,
            "The owner of the group did not take the request.",
            "Come back after the stated time."),
    /** This router is stopping. */
    STOPPING(RefusalKind.UNAVAILABLE, "This router is stopping.", "Ask for entries again and use another one."),
    /** A second copy of the same attempt arrived. */
    DUPLICATE_ATTEMPT(
            RefusalKind.UNAVAILABLE,
            "A second copy of the same attempt arrived.",
            "Nothing to do; the first copy decides."),
    /** The upstream is leaving and took no new work. */
    UPSTREAM_LEAVING(
            RefusalKind.UNAVAILABLE,
            "The upstream is leaving and took no new work.",
            "Come back after the stated time."),
    /** The upstream refused the request before running it. */
    UPSTREAM_REFUSED(
            RefusalKind.UNAVAILABLE,
            "The upstream refused the request before running it.",
            "Come back after the stated time."),
    /** No connection to the upstream could be made. */
    UPSTREAM_UNREACHABLE(
            RefusalKind.UNAVAILABLE,
            "No connection to the upstream could be made.",
            "Come back after the stated time."),
    /** The upstream failed while it ran the request. */
    UPSTREAM_FAILED(
            RefusalKind.FAILED,
            "The upstream failed while it ran the request.",
            "Repeat the request only if that is harmless."),
    /** The upstream or the connection to it went silent. */
    UPSTREAM_SILENT(
            RefusalKind.FAILED,
            "The upstream or the connection to it went silent.",
            "Repeat the request only if that is harmless."),
    /** The owner of the group, or the connection to it, was lost. */
    OWNER_LOST(
            RefusalKind.FAILED,
            "The owner of the group, or the connection to it, was lost.",
            "Repeat the request only if that is harmless."),
    /** The answer ended without its end mark, or with a wrong count. */
    ANSWER_CUT(
            RefusalKind.FAILED,
            "The answer ended without its end mark, or with a wrong count.",
            "Repeat the request only if that is harmless."),
    /** The answer belongs to another attempt. */
    ANSWER_CROSSED(
            RefusalKind.FAILED,
            "The answer belongs to another attempt.",
            "Repeat the request only if that is harmless."),
    /** The time limit passed. */
    TIME_LIMIT(RefusalKind.TIMEOUT, "The time limit passed.", "Allow more time."),
    /** This program failed in a way that it does not expect. */
    INTERNAL_ERROR(
            RefusalKind.FAILED,
            "This program failed in a way that it does not expect.",
            "Report the request id to the operators."),
    /** The ticket was not issued by a router of this fleet. */
    TICKET_INVALID(
            RefusalKind.CALLER_ERROR, "The ticket was not issued by a router of this fleet.", "Take a new ticket."),
    /** The ticket is past its time. */
    TICKET_EXPIRED(
            RefusalKind.CONFLICT,
            "The ticket is past its time.",
            "Check the effect of the first call before taking a new ticket."),
    /** A request with this ticket is running. */
    TICKET_IN_USE(
            RefusalKind.CONFLICT,
            "A request with this ticket is running.",
            "Come back after the stated time for the outcome of the first call."),
    /** A request with this ticket was run and its answer is no longer held. */
    TICKET_SPENT(
            RefusalKind.CONFLICT,
            "A request with this ticket was run and its answer is no longer held.",
            "Check the effect of the first call before taking a new ticket."),
    /** The ticket was spent by a request with another content. */
    TICKET_MISMATCH(
            RefusalKind.CALLER_ERROR,
            "The ticket was spent by a request with another content.",
            "Use one ticket for one request."),
    /** The process that issued the ticket is gone or out of reach. */
    TICKET_HOME_LOST(
            RefusalKind.CONFLICT,
            "The process that issued the ticket is gone or out of reach.",
            "Check the effect of the first call before taking a new ticket.");

    private final RefusalKind kind;
    private final String title;
    private final String remedy;

    /** Creates a reason with its texts. */
    RefusalReason(RefusalKind kind, String title, String remedy) {
        this.kind = kind;
        this.title = title;
        this.remedy = remedy;
    }

    /**
     * Returns the code that callers and counters use.
     *
     * @return the name in lower case
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the category of the reason.
     *
     * @return the category
     */
    public RefusalKind kind() {
        return kind;
    }

    /**
     * Returns a one-sentence description for the caller.
     *
     * @return the sentence
     */
    public String title() {
        return title;
    }

    /**
     * Returns the remedy for the caller.
     *
     * @return the remedy, in one sentence
     */
    public String remedy() {
        return remedy;
    }
}
