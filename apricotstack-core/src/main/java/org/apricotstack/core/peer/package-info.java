/** Knows the other routers by their heartbeats, and decides which of them callers are told to use. */
package org.apricotstack.core.peer;
