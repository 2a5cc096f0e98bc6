/** What the HTTP clients to upstreams and to the platform have in common. */
package org.apricotstack.adapters.http;
