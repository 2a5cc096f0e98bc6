/** What routers tell each other: who is alive, which engines run what, and documents that a peer lacks. */
package org.apricotstack.serving.gossip;
