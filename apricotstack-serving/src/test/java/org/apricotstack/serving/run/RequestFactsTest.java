package org.apricotstack.serving.run;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.apricotstack.core.id.PromptPartId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.route.AccountKeys;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.route.RouteTable;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.route.WeightedService;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.serving.http.CallerRequest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestFactsTest {

    /**
     * Prompts of 45,000 tokens waited for scarce engines until their callers disconnected, and were never sent. Their
     * deadline of 10 s allowed a wait of 7 s, but callers abandon a stream without an event after 6 s, whatever their
     * deadline is.
     */
    @ParameterizedTest
    @CsvSource({
        "1500, 600, 10000, 500, 0, true",
        "1500, 600, 10000, 500, 1500, true",
        "1500, 600, 10000, 500, 2000, false",
        "1500, 600, 10000, 500, 6500, false",
        "3000, 1000, 15000, 1000, 3000, true",
        "3000, 1000, 15000, 4000, 3000, false",
        "300, 250, 10000, 100, 500, true",
        "300, 250, 10000, 100, 700, false",
        "3000, 1000, 3000, 1000, 0, false"
    })
    void waitsOnlyWithinTheCallersPatience(
            long targetMillis,
            long tokenGapMillis,
            long limitMillis,
            double predictedMillis,
            long waitedMillis,
            boolean expected) {
        RequestFacts facts = facts(targetMillis, tokenGapMillis, limitMillis, List.of());
        assertThat(facts.mayWait(predictedMillis, waitedMillis)).isEqualTo(expected);
    }

    /** Guards against refusing a whole session for the part of its own that its requests end with. */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 0", "2, 1", "3, 2", "64, 63", "65, 64", "300, 64"})
    void sharesAllPartsOfAPromptButTheLast(int parts, int expected) {
        List<PromptPartId> ids =
                LongStream.range(0, parts).mapToObj(PromptPartId::new).toList();
        assertThat(facts(300, 250, 10_000, ids).sharedPromptParts())
                .extracting(PromptPart::id)
                .isEqualTo(ids.subList(0, expected));
    }

    private static RequestFacts facts(
            long targetMillis, long tokenGapMillis, long limitMillis, List<PromptPartId> parts) {
        Route route = new Route(
                "r",
                "h",
                "/",
                RequestKind.STREAMING,
                limitMillis,
                targetMillis,
                1,
                List.of(new WeightedService(new ServiceId("s"), 1)),
                2,
                true,
                true,
                tokenGapMillis);
        CallerRequest request = new CallerRequest(
                "id",
                "h",
                "/",
                null,
                CallerRequest.NO_TIMEOUT,
                null,
                45_000,
                800,
                parts,
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
        ServingConfiguration configuration = new ServingConfiguration(
                1, new RouteTable(List.of(route)), Map.of(), CallerLimits.DEFAULT, AccountKeys.NOT_REQUIRED);
        return RequestFacts.of(request, configuration, route, null, 0);
    }
}
