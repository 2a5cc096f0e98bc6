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

/** Base class of the commands that call the admin port of a router. */
abstract class AdminCommand extends Command {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_SUCCESS_STATUS = 299;
    private static final String KEY_VARIABLE = "APRICOT_ADMIN_KEY";

    @Parameter(names = "--address", required = true, description = "The router's adminAddress, IP:PORT.")
    private String address;

    @Parameter(names = "--tls", description = "Whether the port is served with TLS.")
    private boolean tls;

    @Parameter(
            names = "--key",
            description = "The admin key; preferably set in the environment variable " + KEY_VARIABLE + ".")
    private String key = System.getenv().getOrDefault(KEY_VARIABLE, "");

    /** Sends a request and returns the body of the response. */
    String call(HttpMethod method, String path) {
        Address target = Address.parse(address);
        HttpClient client = tls ? HttpClient.create().secure() : HttpClient.create();
        String scheme = tls ? "https://" : "http://";
        try {
            return client.headers(headers -> headers.set("Authorization", "Bearer " + key))
                    .request(method)
                    .uri(scheme + target + path)
                    .responseSingle((response, body) -> response.status().code() <= MAX_SUCCESS_STATUS
                            ? body.asString().defaultIfEmpty("")
                            : Mono.error(errorForStatus(response.status().code())))
                    .block(REQUEST_TIMEOUT);
        } catch (RuntimeException e) {
            throw e instanceof ApricotException ? e : unreachable(e);
        }
    }

    /** Sends a GET request and parses the response as JSON. */
    JsonNode json(String path) {
        try {
            return Json.STRICT.readTree(call(HttpMethod.GET, path));
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "The response of " + address + " is not JSON; check the address.", e);
        }
    }

    /** Prints indented JSON. */
    static void print(JsonNode tree) {
        System.out.println(tree.toPrettyString());
    }

    /** Creates the error for a status other than success. */
    private ApricotException errorForStatus(int status) {
        String remedy = status == 401 ? "set " + KEY_VARIABLE + " to the admin key." : "check the options.";
        return new ApricotException(ErrorCode.ENVIRONMENT, address + " answered with status " + status + "; " + remedy);
    }

    /** Creates the error for a router that does not respond. */
    private ApricotException unreachable(Throwable cause) {
        return new ApricotException(
                ErrorCode.ENVIRONMENT,
                "No answer from " + address + "; check that the router runs and that this is its adminAddress.",
                cause);
    }
}
