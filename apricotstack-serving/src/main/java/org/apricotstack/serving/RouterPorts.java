package org.apricotstack.serving;

import java.util.function.Function;

import org.apricotstack.serving.http.CallerProtocol;
import org.apricotstack.serving.http.HttpCalls;
import org.apricotstack.serving.http.UpstreamProtocol;
import org.apricotstack.serving.observe.UnknownFields;
import org.apricotstack.serving.publication.PublicationDecoder;
import org.apricotstack.serving.publication.PublicationSource;
import org.apricotstack.serving.run.EngineCalls;

/**
 * Adapters that connect a router to the platform that it runs on.
 *
 * @param callers parses requests of callers
 * @param upstreams encodes requests to upstreams and parses their responses
 * @param reader decodes published documents
 * @param source creates the reader of published documents
 * @param engines creates the client of the engines' interface
 * @param unknown collects unknown fields in messages of upstreams and the platform
 */
public record RouterPorts(
        CallerProtocol callers,
        UpstreamProtocol upstreams,
        PublicationDecoder reader,
        Function<HttpCalls, PublicationSource> source,
        Function<HttpCalls, EngineCalls> engines,
        UnknownFields unknown) {}
