/** The listed upstreams, their drains and back-offs, and the passive detection of unhealthy ones. */
package org.apricotstack.core.upstream;
