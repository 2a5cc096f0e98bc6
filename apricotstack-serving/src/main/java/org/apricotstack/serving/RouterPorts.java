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
 * What a router needs of the platform that it runs on.
 *
 * @param callers reads requests
 * @param upstreams writes requests and reads answers
 * @param reader decodes published documents
 * @param source makes the reader of what is published
 * @param engines makes the calls to engines
 * @param unknown collects names that are not known in what upstreams and the platform say
 */
public record RouterPorts(
        CallerProtocol callers,
        UpstreamProtocol upstreams,
        PublicationDecoder reader,
        Function<HttpCalls, PublicationSource> source,
        Function<HttpCalls, EngineCalls> engines,
        UnknownFields unknown) {}
