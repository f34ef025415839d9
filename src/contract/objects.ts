/**
 * The objects that operators declare, and the schema that validates them.
 * @module
 */
import * as zod from "zod";
import * as selector from "./selector.js";

const NAME = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const VERSION = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const name = zod
  .string()
  .regex(NAME, "expected 1 to 63 small letters, digits, '.' or '-', ending in a letter or digit");
const version = zod.string().regex(VERSION, "expected a version such as 7 or 2026.1");
const metadata = zod.strictObject({ name, labels: selector.labels.default({}) }).readonly();

function objectSchema<const K extends string, S extends zod.ZodRawShape>(kind: K, spec: S) {
  return zod
    .strictObject({
      apiVersion: zod.literal("sumacfield/v1"),
      kind: zod.literal(kind),
      metadata,
      spec: zod.strictObject(spec).readonly(),
    })
    .readonly();
}

const oneTargetMessage = "expected exactly one of adapters and services";

/** Limits that a grant sets for each of its callers, over all entry hosts together. */
const limits = zod
  .strictObject({
    /** Requests in flight at once. */
    concurrency: zod.int().positive().optional(),
    /** Requests per second, averaged over one second. */
    rate: zod.number().positive().optional(),
    /** Requests that may wait at one endpoint. */
    queue: zod.int().positive().optional(),
    /** Weight of one request relative to others in queues; 1 if not given. */
    worth: zod.number().positive().max(1000).optional(),
  })
  .readonly();

const failureDomain = objectSchema("FailureDomain", { region: zod.string().optional() });
const host = objectSchema("Host", { failureDomain: name });
const endpoint = objectSchema("Endpoint", {
  host: name,
  /** An engine serves adapters of one base model; requests to a plain service are passed on unchanged. */
  serves: zod.enum(["engine", "service"]),
  baseModel: zod.string().min(1).optional(),
  service: name.optional(),
  /** Adapters that the engine can hold at once. */
  slots: zod.int().positive().default(8),
  /** Requests that the engine runs in one batch, or that the service handles concurrently. */
  seats: zod.int().positive().default(16),
  /** Whether the engine rejects load and unload orders that carry an outdated fencing number. */
  fencing: zod.enum(["honoured", "ignored"]).default("ignored"),
});
const adapter = objectSchema("Adapter", {
  baseModel: zod.string().min(1),
  versions: zod.array(zod.strictObject({ version, source: zod.string().min(1) }).readonly()).min(1),
  /** The version used when a request names none. */
  current: version,
});
const service = objectSchema("Service", {
  /** HTTP methods whose calls may be repeated after the connection to the endpoint broke. */
  repeatable: zod.array(zod.string()).default(["GET", "HEAD", "OPTIONS"]),
});
const caller = objectSchema("Caller", {
  /** SHA-256 of each valid API key, in hex; there are two or more while a key is being rotated. */
  keys: zod.array(zod.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 in small hex digits")),
  /** Class of the caller's requests in queues and metrics. */
  class: name.default("standard"),
});
const grant = objectSchema("Grant", {
  callers: selector.schema,
  adapters: selector.schema.optional(),
  services: selector.schema.optional(),
  limits: limits.default({}),
});
const placement = objectSchema("Placement", {
  adapters: selector.schema.optional(),
  services: selector.schema.optional(),
  endpoints: selector.schema,
  /** Number of distinct failure domains among the endpoints that are tried first for one adapter. */
  spread: zod.strictObject({ failureDomains: zod.int().positive() }).readonly().optional(),
});

/** Reports an issue unless exactly one of `adapters` and `services` is given. */
function checkOneTarget(
  o: { spec: { adapters?: unknown; services?: unknown } },
  ctx: zod.RefinementCtx,
) {
  if ((o.spec.adapters === undefined) === (o.spec.services === undefined)) {
    ctx.addIssue({ code: "custom", path: ["spec"], message: oneTargetMessage });
  }
}

/** Schema of a declared object of any kind. */
export const schema = zod
  .discriminatedUnion("kind", [
    failureDomain,
    host,
    endpoint,
    adapter,
    service,
    caller,
    grant,
    placement,
  ])
  .superRefine((o, ctx) => {
    switch (o.kind) {
      case "Grant":
      case "Placement":
        checkOneTarget(o, ctx);
        break;
      case "Adapter":
        if (!o.spec.versions.some((v) => v.version === o.spec.current)) {
          ctx.addIssue({
            code: "custom",
            path: ["spec", "current"],
            message: "expected one of the versions listed",
          });
        }
        break;
      case "Endpoint":
        if (o.spec.serves === "engine" && !o.spec.baseModel) {
          ctx.addIssue({
            code: "custom",
            path: ["spec", "baseModel"],
            message: "expected the base model that the engine runs",
          });
        }
        if (o.spec.serves === "service" && !o.spec.service) {
          ctx.addIssue({
            code: "custom",
            path: ["spec", "service"],
            message: "expected the name of the Service",
          });
        }
        break;
      case "FailureDomain":
      case "Host":
      case "Service":
      case "Caller":
        break;
    }
  });

/** One declared object. */
export type Obj = zod.infer<typeof schema>;
export type Kind = Obj["kind"];
/** A declared object of kind `K`. */
export type Of<K extends Kind> = Extract<Obj, { kind: K }>;
export type Endpoint = Of<"Endpoint">;
export type Adapter = Of<"Adapter">;
export type Caller = Of<"Caller">;
export type Grant = Of<"Grant">;
export type Placement = Of<"Placement">;

/** All kinds, in the order in which listings show them. */
export const KINDS: readonly Kind[] = [
  "FailureDomain",
  "Host",
  "Endpoint",
  "Service",
  "Adapter",
  "Caller",
  "Grant",
  "Placement",
];

/** Returns an object's key in the intent, e.g. `Adapter/captions-en`. */
export function keyOf(o: Obj): string {
  return `${o.kind}/${o.metadata.name}`;
}
