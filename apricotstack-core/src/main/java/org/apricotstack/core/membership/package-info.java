/** Membership of the fleet: which routers exist, which of them answer, and which routers watch each other. */
package org.apricotstack.core.membership;
