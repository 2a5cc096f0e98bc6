/** The life of a request: checks, choice of upstreams, attempts, resumed streams, and the final answer. */
package org.apricotstack.serving.run;
