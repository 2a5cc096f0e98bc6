/** Connections to upstreams through other routers, for routers that have lost their own links. */
package org.apricotstack.serving.relay;
