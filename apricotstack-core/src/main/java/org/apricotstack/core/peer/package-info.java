/** Tracks the other routers by their heartbeats and chooses the routers that take callers. */
package org.apricotstack.core.peer;
