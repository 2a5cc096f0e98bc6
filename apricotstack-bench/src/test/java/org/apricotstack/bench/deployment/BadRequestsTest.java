package org.apricotstack.bench.deployment;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.engine.StandInEngine;
import org.apricotstack.router.Router;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Invalid requests are refused with a reason, counted, and never sent to an upstream. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadRequestsTest {

    private static final DeploymentShape SHAPE = new DeploymentShape("test", List.of("dc-a"), List.of(1), 1, 1, 2, 0.5);
    private static final String VALID = "{\"model\":\"short-answer\",\"prompt\":\"abcd\",\"max_tokens\":3}";

    private final HttpClient client = HttpClient.newHttpClient();
    private LocalDeployment deployment;

    @BeforeAll
    void start() {
        deployment = new LocalDeployment(SHAPE, EngineSpeed.DEFAULT, 10);
    }

    @AfterAll
    void stop() {
        deployment.close();
    }

    private Router router() {
        return deployment.routers().values().iterator().next();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + router().callerPort() + path))
                .header("Authorization", "Bearer key-account-1");
    }

    private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private long refusals(String code) {
        return router().metrics()
                .registry()
                .counter("entry.refused.not_run." + code)
                .getCount();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{|x||invalid_request|400",
                "{\"model\":\"nope\",\"prompt\":\"abcd\"}|||unknown_service|404",
                "{\"model\":\"lookup\",\"prompt\":\"abcd\"}|||unknown_service|404",
                "VALID||0|invalid_time_limit|400",
                "VALID||-5|invalid_time_limit|400",
                "VALID||99999999999|invalid_time_limit|400",
                "VALID||soon|invalid_time_limit|400",
                "VALID|ticket||ticket_invalid|400",
                "{\"model\":\"short-answer\",\"prompt\":\"abcd\",\"max_tokens\":999999}|||invalid_request|400",
                "LONG|||prompt_too_long|413"
            })
    void refusesInvalidRequests(String body, String ticket, String limit, String code, int status)
            throws IOException, InterruptedException {
        long runs = runs();
        long before = refusals(code);
        String sent = body.equals("VALID") ? VALID : body.equals("LONG") ? longPrompt() : body;
        HttpRequest.Builder request = request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(sent));
        if (limit != null) {
            request.header("X-Time-Limit-Millis", limit);
        }
        if (ticket != null) {
            request.header("Idempotency-Key", ticket);
        }
        HttpResponse<String> response = send(request.build());
        JsonNode problem = Json.STRICT.readTree(response.body());
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(problem.path("code").asText()).isEqualTo(code);
        assertThat(problem.path("outcome").asText()).isEqualTo("not_run");
        assertThat(response.headers().firstValue("Content-Type")).contains("application/problem+json");
        assertThat(runs()).isEqualTo(runs);
        if (!code.equals("invalid_request")) {
            assertThat(refusals(code)).isEqualTo(before + 1);
        }
    }

    private static String longPrompt() {
        return "{\"model\":\"review\",\"prompt\":\"" + "x".repeat(4 * 330_000) + "\"}";
    }

    private long runs() {
        return deployment.engines().values().stream()
                .mapToLong(StandInEngine::runs)
                .sum();
    }

    @Test
    void refusesAWrongKeyWithoutEchoingIt() throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + router().callerPort() + "/v1/completions"))
                .header("Authorization", "Bearer my-secret")
                .POST(HttpRequest.BodyPublishers.ofString(VALID))
                .build();
        HttpResponse<String> response = send(request);
        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).doesNotContain("my-secret");
    }

    @Test
    void refusesABodyOverTheLimitBeforeReadingIt() throws IOException, InterruptedException {
        byte[] body = new byte[(16 << 20) + 1];
        HttpResponse<String> response = send(request("/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build());
        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(response.body()).contains("body_too_large").contains("not_run");
    }

    @Test
    void refusesPathTraversalInPlainCalls() throws IOException, InterruptedException {
        HttpResponse<String> response = send(request("/v1/services/lookup/../../v1/state")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
        assertThat(response.statusCode()).isBetween(400, 499);
        assertThat(send(request("/v1/state").GET().build()).statusCode()).isEqualTo(404);
    }

    @Test
    void answersUnstreamedCompletionsAndPlainCallsOfAnyMethod() throws IOException, InterruptedException {
        HttpResponse<String> whole = send(request("/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofString(VALID))
                .build());
        assertThat(whole.statusCode()).isEqualTo(200);
        assertThat(Json.STRICT
                        .readTree(whole.body())
                        .path("usage")
                        .path("completion_tokens")
                        .asLong())
                .isEqualTo(3);
        HttpResponse<String> plain = send(request("/v1/services/lookup/items?q=1")
                .method("PUT", HttpRequest.BodyPublishers.ofString("b"))
                .build());
        assertThat(plain.statusCode()).isEqualTo(200);
        assertThat(plain.body()).isEqualTo("done b");
    }

    @Test
    void requiresTheKeyOnTheAdminPort() throws IOException, InterruptedException {
        URI status = URI.create("http://127.0.0.1:" + router().adminPort() + "/v1/status");
        assertThat(send(HttpRequest.newBuilder(status).build()).statusCode()).isEqualTo(401);
        HttpResponse<String> allowed = send(HttpRequest.newBuilder(status)
                .header("Authorization", "Bearer " + LocalDeployment.ADMIN_KEY)
                .build());
        assertThat(Json.STRICT.readTree(allowed.body()).path("serving").asBoolean())
                .isTrue();
        HttpResponse<String> metrics =
                send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + router().adminPort() + "/v1/metrics"))
                        .header("Authorization", "Bearer " + LocalDeployment.ADMIN_KEY)
                        .build());
        assertThat(metrics.body())
                .contains("entry_refused_not_run_rate_limited 0.0")
                .contains("configuration_version");
    }
}
