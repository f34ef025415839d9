/**
 * The declared intent as a value: a revision and the objects in force at it. It changes by
 * changesets alone, each one revision further, so that it can only go forward.
 * @module
 */
import * as zod from "zod";
import * as objects from "./objects.js";
import * as selector from "./selector.js";

/** Schema of a changeset, the unit that operators apply and that daemons put in force whole. */
export const changeset = zod
  .strictObject({
    /** The revision that this changeset makes; the one before must be in force. */
    revision: zod.int().positive(),
    /** Wall-clock time of acceptance, ISO 8601. */
    at: zod.string(),
    /** Who applied it, for the history. */
    by: zod.string(),
    /** Tells one attempt to apply from another after a lost reply. */
    id: zod.string().min(1),
    /** `id` of the changeset before, so that two histories are never mixed; empty for the first. */
    previous: zod.string(),
    puts: zod.array(objects.schema).readonly(),
    /** Keys such as `Adapter/captions-en`. */
    deletes: zod.array(zod.string()).readonly(),
  })
  .readonly();
export type Changeset = zod.infer<typeof changeset>;

/** The intent at one revision. Values are never changed in place. */
export interface Intent {
  readonly revision: number;
  /** `id` of the changeset that made this revision. */
  readonly id: string;
  readonly objects: ReadonlyMap<string, objects.Obj>;
}

/** The intent before any changeset. */
export const EMPTY: Intent = { revision: 0, id: "", objects: new Map() };

/**
 * The intent with `change` in force. Throws RangeError when a revision would be skipped or reverted,
 * or when `change` belongs to another history, as after a restore of the store.
 */
export function step(intent: Intent, change: Changeset): Intent {
  if (change.revision !== intent.revision + 1) {
    throw new RangeError(
      `changeset ${change.revision} does not follow revision ${intent.revision}`,
    );
  }
  if (change.previous !== intent.id) {
    throw new RangeError(
      `changeset ${change.revision} follows another history than the one in force`,
    );
  }
  const next = new Map(intent.objects);
  for (const key of change.deletes) next.delete(key);
  for (const o of change.puts) next.set(objects.keyOf(o), o);
  return { revision: change.revision, id: change.id, objects: next };
}

/** The object of a kind and name, or undefined. */
export function find<K extends objects.Kind>(
  intent: Intent,
  kind: K,
  name: string,
): objects.Of<K> | undefined {
  return intent.objects.get(`${kind}/${name}`) as objects.Of<K> | undefined;
}

/** All objects of a kind, in the order they were first declared. */
export function list<K extends objects.Kind>(intent: Intent, kind: K): readonly objects.Of<K>[] {
  return index(intent).byKind.get(kind) as readonly objects.Of<K>[];
}

/** An adapter at one version. */
export interface Target {
  readonly adapter: objects.Adapter;
  readonly version: string;
}

/** Finds what `model` names: `adapter@version`, or `adapter` for its current version. */
export function resolve(intent: Intent, model: string): Target | undefined {
  const at = model.lastIndexOf("@");
  const adapter = find(intent, "Adapter", at < 0 ? model : model.slice(0, at));
  if (!adapter) return undefined;
  const version = at < 0 ? adapter.spec.current : model.slice(at + 1);
  return adapter.spec.versions.some((v) => v.version === version)
    ? { adapter, version }
    : undefined;
}

/** The caller that owns the key with this SHA-256, or undefined. */
export function callerOf(intent: Intent, keyHash: string): objects.Caller | undefined {
  return index(intent).byKeyHash.get(keyHash);
}

/** The grant under which `caller` may use `target`; the first declared wins. */
export function grantFor(
  intent: Intent,
  caller: objects.Caller,
  target: objects.Adapter | objects.Of<"Service">,
): objects.Grant | undefined {
  return grantsOf(intent, caller).find((g) => covers(g, target));
}

/** The placements that say where `target` may run. */
export function placementsOf(
  intent: Intent,
  target: objects.Adapter | objects.Of<"Service">,
): readonly objects.Placement[] {
  const cache = index(intent).byTarget;
  const known = cache.get(target);
  if (known) return known;
  const found = list(intent, "Placement").filter((p) => covers(p, target));
  cache.set(target, found);
  return found;
}

/** Whether one endpoint can serve `target` at all, whatever the placements say. */
export function fits(
  e: objects.Endpoint,
  target: objects.Adapter | objects.Of<"Service">,
): boolean {
  return target.kind === "Adapter"
    ? e.spec.serves === "engine" && e.spec.baseModel === target.spec.baseModel
    : e.spec.serves === "service" && e.spec.service === target.metadata.name;
}

/** The endpoints that one placement picks for `target`, of those that can serve it at all. */
export function endpointsOf(
  intent: Intent,
  p: objects.Placement,
  target: objects.Adapter | objects.Of<"Service">,
): readonly objects.Endpoint[] {
  const cache = index(intent).byPlacement;
  const serves = target.kind === "Adapter" ? target.spec.baseModel : target.metadata.name;
  const key = `${p.metadata.name} ${target.kind} ${serves}`;
  const known = cache.get(key);
  if (known) return known;
  const picked = list(intent, "Endpoint").filter(
    (e) => fits(e, target) && selector.matches(p.spec.endpoints, labelsOf(intent, e)),
  );
  cache.set(key, picked);
  return picked;
}

/** An endpoint's labels with those of its host and failure domain beneath them. */
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

/** Label that drains an Endpoint, its Host or its FailureDomain while it is `true`. */
export const DRAIN_LABEL = "sumacfield/drain";

/** Whether operators have an endpoint drained. */
export function drained(intent: Intent, e: objects.Endpoint): boolean {
  return labelsOf(intent, e)[DRAIN_LABEL] === "true";
}

function covers(
  o: objects.Grant | objects.Placement,
  target: objects.Adapter | objects.Of<"Service">,
): boolean {
  const sel = target.kind === "Adapter" ? o.spec.adapters : o.spec.services;
  return sel !== undefined && selector.matches(sel, nameLabels(target));
}

function nameLabels(o: objects.Obj): selector.Labels {
  return { "sumacfield/name": o.metadata.name, ...o.metadata.labels };
}

function grantsOf(intent: Intent, caller: objects.Caller): readonly objects.Grant[] {
  const cache = index(intent).byCaller;
  const known = cache.get(caller);
  if (known) return known;
  const held = list(intent, "Grant").filter((g) =>
    selector.matches(g.spec.callers, nameLabels(caller)),
  );
  cache.set(caller, held);
  return held;
}

interface Index {
  readonly byKind: ReadonlyMap<objects.Kind, readonly objects.Obj[]>;
  readonly byKeyHash: ReadonlyMap<string, objects.Caller>;
  readonly byCaller: Map<objects.Caller, readonly objects.Grant[]>;
  readonly byPlacement: Map<string, readonly objects.Endpoint[]>;
  readonly byTarget: Map<objects.Obj, readonly objects.Placement[]>;
}

const indexes = new WeakMap<Intent, Index>();

function index(intent: Intent): Index {
  const known = indexes.get(intent);
  if (known) return known;
  const byKind = new Map<objects.Kind, objects.Obj[]>(objects.KINDS.map((k) => [k, []]));
  const byKeyHash = new Map<string, objects.Caller>();
  for (const o of intent.objects.values()) {
    byKind.get(o.kind)?.push(o);
    if (o.kind !== "Caller") continue;
    for (const hash of o.spec.keys) byKeyHash.set(hash, o);
  }
  const made = {
    byKind,
    byKeyHash,
    byCaller: new Map(),
    byPlacement: new Map(),
    byTarget: new Map(),
  };
  indexes.set(intent, made);
  return made;
}
