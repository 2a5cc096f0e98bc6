package org.apricotstack.core.configuration;

import java.util.List;

import org.apricotstack.core.id.ModelId;

/**
 * A model as engines are ordered to load it.
 *
 * @param id the name
 * @param revision the revision of its weights
 * @param adapters adapters to load beside it
 * @param deterministic whether two engines give the same answer to the same request, so that an answer that was cut
 *     can be continued by another engine
 */
public record Model(ModelId id, String revision, List<String> adapters, boolean deterministic) {}
