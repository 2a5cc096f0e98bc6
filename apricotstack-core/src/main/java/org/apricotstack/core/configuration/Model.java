package org.apricotstack.core.configuration;

import java.util.List;

import org.apricotstack.core.id.ModelId;

/**
 * A model that engines can be ordered to load.
 *
 * @param id its id
 * @param revision the revision of its weights
 * @param adapters adapters to load with it
 * @param deterministic whether two engines give the same answer to the same request, so that another engine can
 *     continue an incomplete answer
 */
public record Model(ModelId id, String revision, List<String> adapters, boolean deterministic) {}
