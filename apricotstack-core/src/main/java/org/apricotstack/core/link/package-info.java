/** Whether this router reaches upstreams itself, and which other routers reach them for it. */
package org.apricotstack.core.link;
