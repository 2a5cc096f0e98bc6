/**
 * HTTP server for callers and HTTP client for upstreams.
 *
 * <p>Uses Netty's codecs directly, because client libraries hide what matters here: late responses, the exact end of a
 * body, and the difference between a closed and a reset connection.
 */
package org.apricotstack.serving.http;
