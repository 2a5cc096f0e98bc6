package org.apricotstack.adapters.admin;

import java.io.IOException;
import java.io.StringWriter;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/** Formats the metrics of a registry for monitoring systems. */
final class MetricReports {

    /** The media type of the text format. */
    static final String TEXT_TYPE = TextFormat.CONTENT_TYPE_004;

    private final MetricRegistry registry;
    private final ObjectMapper json =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
    private final CollectorRegistry collectors = new CollectorRegistry();

    /** Creates the formatter of a registry. */
    MetricReports(MetricRegistry registry) {
        this.registry = registry;
        collectors.register(new DropwizardExports(registry));
    }

    /** Formats the metrics in the Prometheus text format. */
    String text() {
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, collectors.metricFamilySamples());
        } catch (IOException e) {
            throw new ApricotException(ErrorCode.ENVIRONMENT, "Cannot write the metrics; report this fault.", e);
        }
        return writer.toString();
    }

    /** Formats the metrics as JSON. */
    String json() {
        try {
            return json.writeValueAsString(registry);
        } catch (JsonProcessingException e) {
            throw new ApricotException(ErrorCode.ENVIRONMENT, "Cannot write the metrics; report this fault.", e);
        }
    }
}
