package org.apricotstack.cli;

import java.io.IOException;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** What commands to the operators' port of a router share. */
abstract class AdminCommand extends Command {

    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final int MOST_OK = 299;
    private static final String KEY_VARIABLE = "APRICOT_ADMIN_KEY";

    @Parameter(names = "--address", required = true, description = "The router's adminAddress, IP:PORT.")
    private String address;

    @Parameter(names = "--tls", description = "Whether the port is served with TLS.")
    private boolean tls;

    @Parameter(names = "--key", description = "The operators' key; better in the variable " + KEY_VARIABLE + ".")
    private String key = System.getenv().getOrDefault(KEY_VARIABLE, "");

    /** Makes a call and returns its answer. */
    String call(HttpMethod method, String path) {
        Address target = Address.parse(address);
        HttpClient client = tls ? HttpClient.create().secure() : HttpClient.create();
        String scheme = tls ? "https://" : "http://";
        try {
            return client.headers(headers -> headers.set("Authorization", "Bearer " + key))
                    .request(method)
                    .uri(scheme + target + path)
                    .responseSingle((response, body) -> response.status().code() <= MOST_OK
                            ? body.asString().defaultIfEmpty("")
                            : Mono.error(refused(response.status().code())))
                    .block(WAIT);
        } catch (RuntimeException e) {
            throw e instanceof ApricotException ? e : unreachable(e);
        }
    }

    /** Makes a call and reads its answer as JSON. */
    JsonNode json(String path) {
        try {
            return Json.STRICT.readTree(call(HttpMethod.GET, path));
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "The answer of " + address + " is no JSON; check the address.", e);
        }
    }

    /** Prints JSON for people. */
    static void print(JsonNode tree) {
        System.out.println(tree.toPrettyString());
    }

    /** Creates the error for a status of failure. */
    private ApricotException refused(int status) {
        String remedy = status == 401 ? "set " + KEY_VARIABLE + " to the operators' key." : "check the options.";
        return new ApricotException(ErrorCode.ENVIRONMENT, address + " answered with status " + status + "; " + remedy);
    }

    /** Creates the error for a router that does not answer. */
    private ApricotException unreachable(Throwable cause) {
        return new ApricotException(
                ErrorCode.ENVIRONMENT,
                "No answer from " + address + "; check that the router runs and that this is its adminAddress.",
                cause);
    }
}
