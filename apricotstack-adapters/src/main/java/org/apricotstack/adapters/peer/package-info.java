/**
 * The protocol between routers over gRPC.
 */
package org.apricotstack.adapters.peer;
