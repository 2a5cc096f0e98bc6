/** The state that upstreams advertise in the heads of their responses. */
package org.apricotstack.core.notice;
