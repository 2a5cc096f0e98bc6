/** Versioned document sets that are replicated between routers; the highest valid version wins. */
package org.apricotstack.core.replication;
