/** Handling of requests: validation, choice of upstreams, attempts, resumed streams and the final response. */
package org.apricotstack.serving.run;
