package org.apricotstack.adapters.admin;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;

/** What a router does for operators. It cannot publish configuration: nothing can be written to the platform. */
public interface AdminEndpoint {

    /**
     * Tells the state of this router.
     *
     * @return JSON
     */
    JsonNode statusTree();

    /**
     * Gathers the state of all routers on the roster.
     *
     * @return JSON, with the routers that did not answer
     */
    Mono<JsonNode> fleet();

    /** Starts a graceful stop; calling it again changes nothing. */
    void drain();

    /**
     * Tells what would be decided for a request, without running it.
     *
     * @param question the request
     * @return JSON
     */
    JsonNode explain(Question question);

    /**
     * A request to explain.
     *
     * @param account the client account
     * @param service the service
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens longest answer, in tokens
     */
    record Question(String account, String service, long promptTokens, long outputTokens) {}
}
