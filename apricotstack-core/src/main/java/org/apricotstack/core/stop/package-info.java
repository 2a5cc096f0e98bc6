/** How a router stops without losing requests. */
package org.apricotstack.core.stop;
