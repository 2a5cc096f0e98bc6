package org.apricotstack.adapters.admin;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;

/** Handles the requests of operators. It cannot publish configuration, as routers never write to the platform. */
public interface AdminEndpoint {

    /**
     * Returns the status of this router.
     *
     * @return JSON
     */
    JsonNode statusTree();

    /**
     * Collects the status of all routers on the roster.
     *
     * @return JSON, including the routers that did not answer
     */
    Mono<JsonNode> fleet();

    /** Starts a graceful shutdown. Further calls have no effect. */
    void drain();

    /**
     * Explains how a request would be routed, without running it.
     *
     * @param question the request to explain
     * @return JSON
     */
    JsonNode explain(Question question);

    /**
     * A request to explain.
     *
     * @param account the client account
     * @param service the service
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens maximum length of the answer, in tokens
     */
    record Question(String account, String service, long promptTokens, long outputTokens) {}
}
