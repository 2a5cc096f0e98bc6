/** Identifies and stops requests that crash upstreams, across all repeats at all routers. */
package org.apricotstack.core.suspect;
