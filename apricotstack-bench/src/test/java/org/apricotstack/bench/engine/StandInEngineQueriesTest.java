package org.apricotstack.bench.engine;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.apricotstack.adapters.upstream.EngineProtocol;
import org.apricotstack.core.id.Address;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StandInEngineQueriesTest {

    private static final String QUERY_ID = "17";

    @ParameterizedTest
    @ValueSource(strings = {EngineProtocol.HELD, EngineProtocol.STATE})
    void repeatsTheIdOfAQuery(String path) throws IOException, InterruptedException {
        try (StandInEngine engine = new StandInEngine(new Address("127.0.0.1", 0), EngineSpeed.DEFAULT, 1, true)) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + engine.address() + path))
                    .version(HttpClient.Version.HTTP_1_1)
                    .header(EngineProtocol.QUERY, QUERY_ID)
                    .build();
            HttpResponse<String> response =
                    HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
            assertThat(response.headers().firstValue(EngineProtocol.QUERY)).contains(QUERY_ID);
        }
    }
}
