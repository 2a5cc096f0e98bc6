package org.apricotstack.core.upstream;

/**
 * A load on the upstreams of a plain service.
 *
 * @param upstreams number of upstreams
 * @param perSecond mean number of requests a second
 * @param workMillis mean work of a request, in milliseconds
 * @param targetMillis time within which an answer is in time, in milliseconds
 * @param deadlineMillis the callers' deadline, in milliseconds
 * @param errorShare share of the requests that upstreams answer with an error
 */
record PlainLoad(
        int upstreams,
        double perSecond,
        double workMillis,
        long targetMillis,
        long deadlineMillis,
        double errorShare) {}
