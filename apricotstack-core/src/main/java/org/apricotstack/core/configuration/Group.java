package org.apricotstack.core.configuration;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.GroupId;

/**
 * A group of upstreams in one data centre that serve the same target; one router owns it.
 *
 * @param id its id
 * @param dataCentre where its upstreams run
 * @param kind the kind of its upstreams
 * @param target the model or plain service that they serve
 */
public record Group(GroupId id, DataCentreId dataCentre, ServiceKind kind, String target) {}
