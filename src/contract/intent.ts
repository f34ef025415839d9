/**
 * The declared intent as an immutable value: a revision and the objects in effect at that revision.
 * It changes only by changesets, each of which adds one to the revision, so it never goes back.
 * @module
 */
import * as zod from "zod";
import * as objects from "./objects.js";
import * as selector from "./selector.js";

/** Schema of a changeset: the unit that operators apply, and that daemons put into effect as a whole. */
export const changeset = zod
  .strictObject({
    /** The revision that this changeset produces; the revision before it must be in effect. */
    revision: zod.int().positive(),
    /** Wall-clock time at which the changeset was accepted, in ISO 8601. */
    at: zod.string(),
    /** Who applied the changeset; shown in the history. */
    by: zod.string(),
    /** Identifies one attempt to apply, so that the attempt can be recognized after a lost reply. */
    id: zod.string().min(1),
    /** `id` of the previous changeset, so that two histories are never mixed; empty for the first. */
    previous: zod.string(),
    puts: zod.array(objects.schema).readonly(),
    /** Keys of the objects to delete, such as `Adapter/captions-en`. */
    deletes: zod.array(zod.string()).readonly(),
  })
  .readonly();
export type Changeset = zod.infer<typeof changeset>;

/** The intent at one revision. Immutable. */
export interface Intent {
  readonly revision: number;
  /** `id` of the changeset that produced this revision. */
  readonly id: string;
  readonly objects: ReadonlyMap<string, objects.Obj>;
}

/** The intent before the first changeset. */
export const EMPTY: Intent = { revision: 0, id: "", objects: new Map() };

/**
 * Applies `change` and returns the new intent. Throws RangeError when a revision would be skipped or
 * reverted, or when `change` belongs to another history, as after the store was restored from a backup.
 */
export function step(intent: Intent, change: Changeset): Intent {
  if (change.revision !== intent.revision + 1) {
    throw new RangeError(
      `changeset ${change.revision} does not follow revision ${intent.revision}`,
    );
  }
  if (change.previous !== intent.id) {
    throw new RangeError(
      `changeset ${change.revision} belongs to another history than the current intent`,
    );
  }
  const next = new Map(intent.objects);
  for (const key of change.deletes) next.delete(key);
  for (const o of change.puts) next.set(objects.keyOf(o), o);
  return { revision: change.revision, id: change.id, objects: next };
}

/** Returns the object with the given kind and name, or undefined. */
export function find<K extends objects.Kind>(
  intent: Intent,
  kind: K,
  name: string,
): objects.Of<K> | undefined {
  return intent.objects.get(`${kind}/${name}`) as objects.Of<K> | undefined;
}

/** Returns all objects of a kind, in the order in which they were first declared. */
export function list<K extends objects.Kind>(intent: Intent, kind: K): readonly objects.Of<K>[] {
  return indexFor(intent).byKind.get(kind) as readonly objects.Of<K>[];
}

/** An adapter and one of its versions. */
export interface Target {
  readonly adapter: objects.Adapter;
  readonly version: string;
}

/** Resolves a model name: `adapter@version`, or `adapter` for the adapter's current version. */
export function resolve(intent: Intent, model: string): Target | undefined {
  const separator = model.lastIndexOf("@");
  const adapter = find(intent, "Adapter", separator < 0 ? model : model.slice(0, separator));
  if (!adapter) return undefined;
  const version = separator < 0 ? adapter.spec.current : model.slice(separator + 1);
  return adapter.spec.versions.some((v) => v.version === version)
    ? { adapter, version }
    : undefined;
}

/** Returns the caller that owns the key with this SHA-256 hash, or undefined. */
export function callerOf(intent: Intent, keyHash: string): objects.Caller | undefined {
  return indexFor(intent).byKeyHash.get(keyHash);
}

/**
 * Returns the grant under which `caller` may use `target`, or undefined. Where several grants apply,
 * the one declared first is used.
 */
export function grantFor(
  intent: Intent,
  caller: objects.Caller,
  target: objects.Adapter | objects.Of<"Service">,
): objects.Grant | undefined {
  return grantsOf(intent, caller).find((g) => selects(g, target));
}

/** Returns the placements that select `target`; they say where it may run. */
export function placementsOf(
  intent: Intent,
  target: objects.Adapter | objects.Of<"Service">,
): readonly objects.Placement[] {
  const cache = indexFor(intent).byTarget;
  const cached = cache.get(target);
  if (cached) return cached;
  const matching = list(intent, "Placement").filter((p) => selects(p, target));
  cache.set(target, matching);
  return matching;
}

/**
 * Whether endpoint `e` is able to serve `target`: its engine runs the adapter's base model, or it is
 * the target service itself. Placements are not considered.
 */
export function fits(
  e: objects.Endpoint,
  target: objects.Adapter | objects.Of<"Service">,
): boolean {
  return target.kind === "Adapter"
    ? e.spec.serves === "engine" && e.spec.baseModel === target.spec.baseModel
    : e.spec.serves === "service" && e.spec.service === target.metadata.name;
}

/** Returns the endpoints that placement `p` selects for `target`, among those able to serve it. */
export function endpointsOf(
  intent: Intent,
  p: objects.Placement,
  target: objects.Adapter | objects.Of<"Service">,
): readonly objects.Endpoint[] {
  const cache = indexFor(intent).byPlacement;
  const servedName = target.kind === "Adapter" ? target.spec.baseModel : target.metadata.name;
  const key = `${p.metadata.name} ${target.kind} ${servedName}`;
  const cached = cache.get(key);
  if (cached) return cached;
  const selected = list(intent, "Endpoint").filter(
    (e) => fits(e, target) && selector.matches(p.spec.endpoints, labelsOf(intent, e)),
  );
  cache.set(key, selected);
  return selected;
}

/**
 * Returns an endpoint's labels merged with those of its host and failure domain. The endpoint's own
 * labels take precedence over the host's, and those over the failure domain's.
 */
export function labelsOf(intent: Intent, e: objects.Endpoint): selector.Labels {
  const host = find(intent, "Host", e.spec.host);
  const domain = host && find(intent, "FailureDomain", host.spec.failureDomain);
  return {
    "sumacfield/host": e.spec.host,
    ...(host && { "sumacfield/failure-domain": host.spec.failureDomain }),
    ...domain?.metadata.labels,
    ...host?.metadata.labels,
    ...e.metadata.labels,
  };
}

/** Label that drains an Endpoint, a Host or a FailureDomain while its value is `true`. */
export const DRAIN_LABEL = "sumacfield/drain";

/** Whether an operator has drained an endpoint, its host or its failure domain. */
export function drained(intent: Intent, e: objects.Endpoint): boolean {
  return labelsOf(intent, e)[DRAIN_LABEL] === "true";
}

/** Whether the selectors of a grant or placement match `target`. */
function selects(
  o: objects.Grant | objects.Placement,
  target: objects.Adapter | objects.Of<"Service">,
): boolean {
  const sel = target.kind === "Adapter" ? o.spec.adapters : o.spec.services;
  return sel !== undefined && selector.matches(sel, selectableLabels(target));
}

/** An object's labels, with its name as a label, as selectors see them. */
function selectableLabels(o: objects.Obj): selector.Labels {
  return { "sumacfield/name": o.metadata.name, ...o.metadata.labels };
}

function grantsOf(intent: Intent, caller: objects.Caller): readonly objects.Grant[] {
  const cache = indexFor(intent).byCaller;
  const cached = cache.get(caller);
  if (cached) return cached;
  const matching = list(intent, "Grant").filter((g) =>
    selector.matches(g.spec.callers, selectableLabels(caller)),
  );
  cache.set(caller, matching);
  return matching;
}

/** Lookup tables over one intent; the three maps at the end are filled as they are needed. */
interface Index {
  readonly byKind: ReadonlyMap<objects.Kind, readonly objects.Obj[]>;
  readonly byKeyHash: ReadonlyMap<string, objects.Caller>;
  readonly byCaller: Map<objects.Caller, readonly objects.Grant[]>;
  readonly byPlacement: Map<string, readonly objects.Endpoint[]>;
  readonly byTarget: Map<objects.Obj, readonly objects.Placement[]>;
}

const indexes = new WeakMap<Intent, Index>();

function indexFor(intent: Intent): Index {
  const cached = indexes.get(intent);
  if (cached) return cached;
  const byKind = new Map<objects.Kind, objects.Obj[]>(objects.KINDS.map((k) => [k, []]));
  const byKeyHash = new Map<string, objects.Caller>();
  for (const o of intent.objects.values()) {
    byKind.get(o.kind)?.push(o);
    if (o.kind !== "Caller") continue;
    for (const hash of o.spec.keys) byKeyHash.set(hash, o);
  }
  const built = {
    byKind,
    byKeyHash,
    byCaller: new Map(),
    byPlacement: new Map(),
    byTarget: new Map(),
  };
  indexes.set(intent, built);
  return built;
}
