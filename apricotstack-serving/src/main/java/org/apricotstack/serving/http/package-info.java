/**
 * HTTP towards callers and upstreams.
 *
 * <p>It uses Netty's codecs directly: an answer that nobody waits for, the exact end of a body and the difference
 * between a closed and a reset connection decide here, and a client library hides them.
 */
package org.apricotstack.serving.http;
