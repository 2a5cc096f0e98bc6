package org.apricotstack.serving.observe;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServingMetricsTest {

    private static final List<String> NAMES = List.of(
            "attempts.failed.back_off",
            "attempts.failed.cut",
            "attempts.failed.draining",
            "attempts.failed.error",
            "attempts.failed.full",
            "attempts.failed.helper_gone",
            "attempts.failed.link_lost",
            "attempts.failed.no_connection",
            "attempts.failed.not_reserved",
            "attempts.failed.other_instance",
            "attempts.failed.passed_over",
            "attempts.failed.reset",
            "attempts.failed.silent",
            "attempts.failed.spoiled",
            "attempts.failed.withdrawn",
            "attempts.failed.withheld",
            "attempts.relayed",
            "back_offs.absent",
            "back_offs.in_force",
            "back_offs.stated",
            "back_offs.unreadable",
            "drains.announced",
            "drains.unreadable",
            "first_answer_millis.safe",
            "first_answer_millis.streaming",
            "first_answer_millis.unsafe",
            "limits.began",
            "limits.changed",
            "limits.ended",
            "limits.none",
            "limits.unreadable",
            "passed_over.back_off",
            "passed_over.draining",
            "passed_over.limit",
            "placement.first_event_error_millis",
            "process.stalled_millis",
            "process.stalls",
            "refusals.attempts_used",
            "refusals.body_memory",
            "refusals.ends_upstreams",
            "refusals.may_have_run",
            "refusals.no_configuration",
            "refusals.no_room",
            "refusals.no_route",
            "refusals.no_upstream",
            "refusals.part_ends_upstreams",
            "refusals.repeat_in_trial",
            "refusals.retry_budget",
            "refusals.stopping",
            "refusals.time_limit",
            "refusals.too_dear",
            "refusals.unknown_key",
            "refusals.upstream_limits",
            "refusals.upstreams_back_off",
            "refusals.upstreams_draining",
            "retries.back_off",
            "retries.cut",
            "retries.draining",
            "retries.error",
            "retries.full",
            "retries.helper_gone",
            "retries.link_lost",
            "retries.no_connection",
            "retries.not_reserved",
            "retries.other_instance",
            "retries.passed_over",
            "retries.reset",
            "retries.silent",
            "retries.spoiled",
            "retries.withdrawn",
            "retries.withheld",
            "served.safe",
            "served.streaming",
            "served.unsafe",
            "stops.requests_arrived",
            "stops.requests_cut",
            "streams.longest_pause_millis",
            "upstream_speed.none",
            "upstream_speed.recovered",
            "upstream_speed.slow");

    /**
     * Guards against a changed metric name when an enum constant is renamed. Most names end in the name of a constant,
     * and {@code back_offs.stated} became {@code back_offs.present} that way.
     */
    @Test
    void namesEachMetricAsBefore() {
        assertThat(new ServingMetrics().registry().getNames()).containsExactlyInAnyOrderElementsOf(NAMES);
    }
}
