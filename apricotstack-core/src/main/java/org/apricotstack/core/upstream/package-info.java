/** Knows the upstreams that are listed, and judges them by what is seen of them. */
package org.apricotstack.core.upstream;
