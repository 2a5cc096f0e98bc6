/**
 * Versioned document sets that spread between routers, where the highest valid version wins.
 */
package org.apricotstack.core.replication;
