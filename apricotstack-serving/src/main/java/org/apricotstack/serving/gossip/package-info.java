/** State updates between routers: membership, placements on engines, and documents that a peer lacks. */
package org.apricotstack.serving.gossip;
